#ifndef SYCAMOREREACH_NETWORK_UPLOADPROGRESS_H
#define SYCAMOREREACH_NETWORK_UPLOADPROGRESS_H

#include "Common/Time.h"

#include <cstddef>

struct bufferevent;

namespace Network {

/// Follows what becomes of the request bytes on a connection whose peer has
/// ended its stream. A peer that has ended resets the connection when they
/// arrive; one that has only answered early takes them.
class UploadProgress {
public:
  enum class State {
    /// The peer has acknowledged all bytes.
    Acknowledged,
    Pending,
    /// The peer has taken none of the pending bytes for a while.
    Stalled,
    /// The connection failed.
    Failed,
  };

  explicit UploadProgress(Common::TimePoint Now) : ProgressAt(Now) {}

  State observe(bufferevent *Socket, Common::TimePoint Now);

private:
  /// As of the last observation.
  std::size_t PendingBytes = 0;
  Common::TimePoint ProgressAt;
};

} // namespace Network

#endif
