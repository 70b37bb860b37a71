#include "cuminfield/process/moves/RegisterClient.h"

#include "cuminfield/process/state/state.pb.h"

#include <utility>

namespace cuminfield::process::moves {

RegisterClient::RegisterClient(Options aOptions)
  : mOptions(std::move(aOptions))
  , mAlive(std::make_shared<bool>(true))
{
}

RegisterClient::~RegisterClient()
{
  *mAlive = false;
}

void RegisterClient::Read(Completion aCompletion)
{
  mBusy = true;
  state::proto::Query query;
  query.mutable_read_register()->set_name(mOptions.name);
  mOptions.group.Query(query.SerializeAsString(), mOptions.timeout,
                       [this, alive = mAlive, completion = std::move(aCompletion)](
                         const core::Result<std::string>& aResult) {
                         if (*alive) {
                           OnRead(aResult, completion);
                         }
                       });
}

void RegisterClient::OnRead(const core::Result<std::string>& aResult, const Completion& aCompletion)
{
  mBusy = false;
  state::proto::QueryAnswer answer;
  mCurrent = aResult && answer.ParseFromString(aResult.value()) && answer.has_found_register();
  if (mCurrent) {
    mVersion = answer.found_register().record().version();
    mValue = answer.found_register().record().value();
  }
  aCompletion(mCurrent);
}

void RegisterClient::Write(const std::string& aValue, core::FencingNumber aFencing,
                           Completion aCompletion)
{
  mBusy = true;
  state::proto::Command command;
  command.set_now(mOptions.timers.WallNow().time_since_epoch().count());
  state::proto::WriteRegister* write = command.mutable_write_register();
  write->set_name(mOptions.name);
  write->set_base_version(mVersion);
  write->set_value(aValue);
  write->set_fencing(aFencing.Value());
  mOptions.group.Propose(
    command.SerializeAsString(), mOptions.timeout,
    [this, alive = mAlive, value = aValue,
     completion = std::move(aCompletion)](const core::Result<std::string>& aResult) {
      if (*alive) {
        OnWritten(aResult, value, completion);
      }
    });
}

void RegisterClient::OnWritten(const core::Result<std::string>& aResult, const std::string& aValue,
                               const Completion& aCompletion)
{
  mBusy = false;
  state::proto::Answer answer;
  const bool written = aResult && answer.ParseFromString(aResult.value()) &&
                       answer.written().verdict() == state::proto::REGISTER_VERDICT_WRITTEN;
  mCurrent = written;
  if (written) {
    mVersion = answer.written().record().version();
    mValue = aValue;
  }
  aCompletion(written);
}

} // namespace cuminfield::process::moves
