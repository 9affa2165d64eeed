#ifndef SYCAMOREREACH_ENTRYDAEMON_RESPONSEBUFFER_H
#define SYCAMOREREACH_ENTRYDAEMON_RESPONSEBUFFER_H

#include "Network/EventLoop.h"

#include <functional>
#include <memory>
#include <string>

namespace EntryDaemon {

/// The body of a server's response that is passed on as a whole, charged to the
/// memory budget of the process.
class ResponseBuffer {
public:
  enum class Result {
    Kept,
    TooLarge,
    /// The memory budget ended it. This object may be destroyed.
    GaveWay,
  };

  ResponseBuffer() = default;
  ResponseBuffer(const ResponseBuffer &) = delete;
  ResponseBuffer &operator=(const ResponseBuffer &) = delete;

  /// OnGivenWay runs if the memory budget ends this response, during this call
  /// or between two calls. It may destroy this object.
  Result append(Network::EventLoop &Loop, const std::string &Bytes,
                const std::function<void()> &OnGivenWay);
  std::string take();

private:
  std::string Body;
  std::shared_ptr<bool> Ended = std::make_shared<bool>(false);
  Network::MemoryAccount Account;
  bool Opened = false;
};

} // namespace EntryDaemon

#endif
