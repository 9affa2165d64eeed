#include "EntryDaemon/EntrySettings.h"

namespace EntryDaemon {

const char *const Usage = R"(sycamore-entry: entry daemon of sycamorereach

Usage:
  sycamore-entry [options]
  sycamore-entry gateway [options]
  sycamore-entry (-h | --help)
  sycamore-entry --version

Options:
  --name=NAME         Name of this daemon.
  --datacentre=NAME   Data centre of this host.
  --http=IP:PORT      Address for callers, backend servers and operators.
  --peer=IP:PORT      Address for other entry daemons, TCP and UDP.
  --peers=LIST        All entry daemons as NAME@IP:PORT@DATACENTRE, separated
                      by commas; this daemon may be included.
  --state=LIST        Addresses of all state daemons, separated by commas.
  --drain-grace=MS    How long connections are still accepted after SIGTERM,
                      while /readyz reports not ready; 500 by default.
  --shutdown-time=S   Time for requests in progress to end after SIGTERM; then
                      they are answered as refused or interrupted. 590 by
                      default, 8 for the gateway.
  --memory=MB         Memory of this host for the daemon; 1,074 by default.
  --descriptors=N     Maximum number of open descriptors; by default the limit
                      of the process.
  --log-level=LEVEL   debug, info, warning or error; info by default.
  -h --help           Show this text.
  --version           Show the version.

Gateway options: (name, datacentre, http, shutdown-time, memory, descriptors
                  and log-level are as above)
  --settings-file=FILE     File of NAME=value lines, named like the environment
                           variables, which take precedence over it.
  --ready=IP:PORT          Address of the load balancer's readiness check.
  --link-port=PORT         Port for connections between daemons, on all hosts.
  --metrics-port=PORT      Port of /metrics; 0 disables it.
  --seeds=LIST             HTTP addresses of one or more state daemons.
  --revoke-time=MS         Time after which a revoked key must be refused.
  --retry-ratio=N          Retries allowed per request to a service.
  --retry-extra=N          Additional retries allowed for all daemons together.
  --retry-window=S         Window over which retries are counted.
  --usage-window=S         Length of a usage window.
  --rollouts=BOOL          true to obey rollouts of versions; false by default.
  --admission=0|1          Whether requests are admitted by priority, team and
                           work while a service is short of room.
  --allowance-slack=N      Tokens tolerated above a team's limits per window.
  --allowance-over=N       Fraction of the limits tolerated above them.
  --allowance-window=S     Window over which a team's use is counted.

Each option can also be set in the environment, for example --log-level as
SYCAMORE_LOG_LEVEL. SYCAMORE_CLUSTER_KEY, SYCAMORE_OPERATOR_TOKEN and
SYCAMORE_BACKEND_TOKEN are read from the environment only.
)";

EntrySettings EntrySettings::create(Settings::SettingsReader &Reader) {
  constexpr std::uint64_t DefaultDrainGraceMs = 500;
  constexpr std::uint64_t MaxDrainGraceMs = 600'000;
  EntrySettings Result;
  static_cast<DaemonSettings &>(Result) = DaemonSettings::create(Reader);
  Result.Http = Reader.address("--http");
  Result.Peer = Reader.address("--peer");
  bool ListsItself = false;
  for (const std::string &Each : Reader.list("--peers")) {
    auto Parsed = Membership::Peer::create(Each);
    if (!Parsed.ok()) {
      Reader.addError("--peers", std::string(Parsed.status().message()));
      continue;
    }
    ListsItself = ListsItself || Parsed->Daemon == Result.Name;
    Result.Peers.push_back(*Parsed);
  }
  if (!ListsItself)
    Result.Peers.push_back({Result.Name, Result.DataCentre, Result.Peer});
  Result.BackendToken = Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  // Ends before the service manager does it, see TimeoutStopSec in
  // Scripts/systemd.
  constexpr Common::Duration DefaultShutdownTime = std::chrono::seconds(590);
  Result.ShutdownTime = Reader.duration("--shutdown-time", DefaultShutdownTime,
                                        std::chrono::seconds(1));
  Result.DrainGrace = std::chrono::milliseconds(
      Reader.number("--drain-grace", DefaultDrainGraceMs, 0, MaxDrainGraceMs));
  return Result;
}

} // namespace EntryDaemon
