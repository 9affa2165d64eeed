#ifndef SYCAMOREREACH_ENTRYDAEMON_CALLFAILURE_H
#define SYCAMOREREACH_ENTRYDAEMON_CALLFAILURE_H

namespace EntryDaemon {

/// Why a request was refused or failed by this system.
enum class CallFailure {
  NoDeclaration,
  StaleDeclaration,
  BadHeaders,
  UnknownRoute,
  UnknownKey,
  OverAllowance,
  ContentCrashesServers,
  NoServer,
  Overloaded,
  ServerRejected,
  ServerLost,
  ServerSilent,
  BadAnswer,
  DeadlinePassed,
};

/// As in logs and counters.
const char *nameOf(CallFailure Why);

/// The answers that entry daemons give of their own.
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

/// Whether an answer with this status promises that the request did not run
/// and never will.
constexpr bool promisesNotRun(int Status) {
  return Status == RequestTimeout || Status == MisdirectedRequest ||
         Status == TooManyRequests || Status == Unavailable;
}

} // namespace HttpStatus

} // namespace EntryDaemon

#endif
