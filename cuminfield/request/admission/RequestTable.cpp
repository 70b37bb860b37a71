#include "cuminfield/request/admission/RequestTable.h"

#include "cuminfield/core/Invariant.h"

#include <xxhash.h>

namespace cuminfield::request::admission {

namespace {

constexpr double kUnit = 0x1.0p-53; ///< Step of a double in [0, 1) made of 53 bits.

std::uint64_t KeyOf(const core::RequestId& aRequest)
{
  return XXH64(aRequest.Text().data(), aRequest.Text().size(), 0);
}

} // namespace

RequestIndex RequestTable::Add(RequestSpec aSpec)
{
  const std::uint64_t key = KeyOf(aSpec.id);
  CUMINFIELD_INVARIANT("request.id-unique", mByKey.Find(key) == FlatIndex::kNone);
  if (mFree.empty()) {
    mFree.push_back(static_cast<RequestIndex>(mStates.size()));
    mStates.emplace_back();
  }
  const RequestIndex index = mFree.back();
  mFree.pop_back();
  RequestState& state = mStates[index];
  const std::uint32_t generation = state.generation + 1;
  state = RequestState{};
  state.generation = generation;
  state.spec = std::move(aSpec);
  state.point = static_cast<double>(key >> 11) * kUnit;
  mByKey.Set(key, index);
  return index;
}

RequestIndex RequestTable::Find(const core::RequestId& aRequest) const
{
  const std::uint32_t index = mByKey.Find(KeyOf(aRequest));
  if (index == FlatIndex::kNone || mStates[index].spec.id != aRequest) {
    return kNone;
  }
  return index;
}

void RequestTable::Remove(RequestIndex aIndex)
{
  mByKey.Erase(KeyOf(mStates[aIndex].spec.id));
  mStates[aIndex].phase = RequestPhase::Free;
  mStates[aIndex].spec = RequestSpec{};
  mFree.push_back(aIndex);
}

} // namespace cuminfield::request::admission
