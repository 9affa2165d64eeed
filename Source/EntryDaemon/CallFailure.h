#ifndef SYCAMOREREACH_ENTRYDAEMON_CALLFAILURE_H
#define SYCAMOREREACH_ENTRYDAEMON_CALLFAILURE_H

namespace EntryDaemon {

/// Why an attempt failed, or why the entry daemon sent its own error response
/// instead of a backend server's response.
enum class CallFailure {
  NoDeclaration,
  StaleDeclaration,
  BadHeaders,
  UnknownRoute,
  UnknownKey,
  OverAllowance,
  AdmissionLimited,
  ContentRefused,
  NoServer,
  Overloaded,
  ServersResting,
  ServerRejected,
  ServerLost,
  ServerSilent,
  BadAnswer,
  DeadlinePassed,
  ShuttingDown,
};

/// The name used in logs, metrics and error responses.
const char *nameOf(CallFailure Failure);

/// Status codes of responses that an entry daemon generates itself.
namespace HttpStatus {

constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int NotFound = 404;
constexpr int RequestTimeout = 408;
constexpr int MisdirectedRequest = 421;
constexpr int TooManyRequests = 429;
constexpr int BadGateway = 502;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Whether a response with this status guarantees that the request was not
/// executed and never will be.
constexpr bool impliesNotExecuted(int Status) {
  return Status == RequestTimeout || Status == MisdirectedRequest ||
         Status == TooManyRequests || Status == Unavailable;
}

} // namespace HttpStatus

} // namespace EntryDaemon

#endif
