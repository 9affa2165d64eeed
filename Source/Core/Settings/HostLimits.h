#ifndef SYCAMOREREACH_SETTINGS_HOSTLIMITS_H
#define SYCAMOREREACH_SETTINGS_HOSTLIMITS_H

#include "Network/EventLoop.h"
#include "Settings/SettingsReader.h"

#include <cstddef>

namespace Settings {

/// What the host grants to this process.
struct HostLimits {
  /// In megabytes (1,000,000 bytes); 0 if not stated.
  std::size_t Memory = 0;
  /// Maximum number of open descriptors; 0 if not stated.
  std::size_t Descriptors = 0;

  /// Reads --memory and --descriptors. Errors are collected in Reader.
  static HostLimits create(SettingsReader &Reader);
  /// Sets the limits on what the process holds for its peers, and has the
  /// allocator return freed memory to the system.
  void apply(Network::EventLoop &Loop) const;
};

} // namespace Settings

#endif
