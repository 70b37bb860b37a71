#pragma once

#include "cuminfield/core/Ids.h"

#include <functional>
#include <string>
#include <vector>

namespace cuminfield::process::cluster {

/// Reads the settings file of a running process again and passes on its seeds. The other keys take
/// effect at the next start only. A file that cannot be used leaves the seeds as they are.
class SeedReloader
{
public:
  struct Options
  {
    std::string path;
    std::vector<core::HostId> seeds; ///< In force now.
    /// Called with seeds that differ from those in force.
    std::function<void(const std::vector<core::HostId>&)> onSeedsChanged;
  };

  explicit SeedReloader(Options aOptions);

  /// Reads the file.
  void Reload();

  /// Reads the file, but does not log an error that was logged before. For regular calls: settings
  /// may change without a signal.
  void Check();

private:
  void Read(bool aRepeatError);

  Options mOptions;
  std::string mLoggedError;
};

} // namespace cuminfield::process::cluster
