#include "cuminfield/request/admission/RequestTable.h"

#include "cuminfield/core/Invariant.h"

#include <xxhash.h>

namespace cuminfield::request::admission {

namespace {

constexpr double kPointStep = 0x1.0p-53; ///< Spacing of 53-bit fractions in [0, 1).

std::uint64_t HashRequestId(const core::RequestId& aRequest)
{
  return XXH64(aRequest.Text().data(), aRequest.Text().size(), 0);
}

} // namespace

RequestIndex RequestTable::Add(RequestSpec aSpec)
{
  const std::uint64_t key = HashRequestId(aSpec.id);
  CUMINFIELD_INVARIANT("request.id-unique", mIndexByIdHash.Find(key) == FlatHashMap::kNone);
  if (mFreeIndices.empty()) {
    mFreeIndices.push_back(static_cast<RequestIndex>(mStates.size()));
    mStates.emplace_back();
  }
  const RequestIndex index = mFreeIndices.back();
  mFreeIndices.pop_back();
  RequestState& state = mStates[index];
  const std::uint32_t generation = state.generation + 1;
  state = RequestState{};
  state.generation = generation;
  state.spec = std::move(aSpec);
  state.versionPoint = static_cast<double>(key >> 11) * kPointStep;
  mIndexByIdHash.Set(key, index);
  return index;
}

RequestIndex RequestTable::Find(const core::RequestId& aRequest) const
{
  const std::uint32_t index = mIndexByIdHash.Find(HashRequestId(aRequest));
  if (index == FlatHashMap::kNone || mStates[index].spec.id != aRequest) {
    return kNone;
  }
  return index;
}

void RequestTable::Remove(RequestIndex aIndex)
{
  mIndexByIdHash.Erase(HashRequestId(mStates[aIndex].spec.id));
  mStates[aIndex].phase = RequestPhase::Free;
  mStates[aIndex].spec = RequestSpec{};
  mFreeIndices.push_back(aIndex);
}

} // namespace cuminfield::request::admission
