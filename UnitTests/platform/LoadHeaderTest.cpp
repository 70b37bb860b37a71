#include "platform/HeaderCodec.h"
#include "platform/Wire.h"

#include <CppUTest/TestHarness.h>

#include <optional>
#include <string>

using namespace cuminfield;

namespace {

std::optional<request::forward::ReportedLoad> Parse(const std::string& aValue)
{
  const ::platform::HeaderCodec codec;
  return codec.ParseLoad(
    { { .name = std::string(::platform::wire::kServerLoad), .value = aValue } });
}

} // namespace

TEST_GROUP(LoadHeader){};

TEST(LoadHeader, ThreeAndFourFiguresAreRead)
{
  for (const char* it : { "4,2,7", " 4, 2 ,7", "4,2,7,250", "4,2,7, 250 ", "4,2,7,250,9" }) {
    const auto load = Parse(it);
    CHECK(load.has_value());
    CHECK(load->hasRequests);
    CHECK_EQUAL(4, load->running);
    CHECK_EQUAL(2, load->waiting);
    CHECK_EQUAL(7, load->slots);
    CHECK_EQUAL(std::string(it).find("250") != std::string::npos, load->speedPercent.has_value());
    CHECK_EQUAL(250, load->speedPercent.value_or(250));
  }
}

/// A faulty figure must not hide the others, and never becomes a huge count.
TEST(LoadHeader, ReadableFiguresAreUsed)
{
  CHECK_FALSE(Parse("").has_value());
  for (const char* it : { ",", ",,,", "x", "-1", "-1,2,7", "99999999999,2,7", "1.5,2,7", "x,2,7,0",
                          " ", "4x,2,7" }) {
    CHECK_FALSE(Parse(it).has_value());
  }
  CHECK_EQUAL(4, Parse("4")->running);
  CHECK_EQUAL(0, Parse("4,-2,7")->waiting);
  CHECK_EQUAL(0, Parse("4,,7")->waiting);
  CHECK_EQUAL(7, Parse("4,,7")->slots);
  const auto speedOnly = Parse(",x,-7,150");
  CHECK_FALSE(speedOnly->hasRequests);
  CHECK_EQUAL(150, *speedOnly->speedPercent);
}

/// A speed of 0 or of many times the range would attract or stop all work.
TEST(LoadHeader, SpeedOutOfRangeIsDropped)
{
  for (const char* it :
       { "0", "-100", "100001", "99999999999999999999", "fast", "", "1e2", "nan" }) {
    const auto load = Parse("4,2,7," + std::string(it));
    CHECK_EQUAL(4, load->running);
    CHECK_FALSE(load->speedPercent.has_value());
  }
  CHECK_EQUAL(1, *Parse("4,2,7,1")->speedPercent);
  CHECK_EQUAL(100'000, *Parse("4,2,7,100000")->speedPercent);
}
