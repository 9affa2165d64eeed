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
  --http=IP:PORT      Where callers, backend servers and operators connect.
  --peer=IP:PORT      Where other entry daemons connect, TCP and UDP.
  --peers=LIST        All entry daemons as NAME@IP:PORT@DATACENTRE, separated
                      by commas; this one may be among them.
  --state=LIST        Addresses of all state daemons, separated by commas.
  --drain-grace=MS    How long connections are still accepted after SIGTERM,
                      while /readyz says no; 500 unless given.
  --log-level=LEVEL   debug, info, warning or error; info unless given.
  -h --help           Show this text.
  --version           Show the version.

Gateway options: (name, datacentre, http and log-level are as above)
  --settings-file=FILE     Lines of NAME=value in the environment's names; the
                           environment wins over the file.
  --ready=IP:PORT          Where the balancer asks whether to send callers.
  --link-port=PORT         Port of the links between daemons, on all hosts.
  --metrics-port=PORT      Port of /metrics; 0 for none.
  --seeds=LIST             HTTP addresses of some state daemons.
  --revoke-time=MS         Time after which a withdrawn key must not work.
  --shutdown-time=S        Time for requests under way after SIGTERM.
  --retry-ratio=N          Repeats allowed for each request to a service.
  --retry-extra=N          Repeats allowed besides, of all daemons together.
  --retry-window=S         Window in which repeats are counted.
  --usage-window=S         Length of a usage window.
  --allowance-slack=N      Tokens borne beyond a team's limits in a window.
  --allowance-over=N       Share of the limits borne beyond them.
  --allowance-window=S     Window in which a team's use is counted.

Each option can be given in the environment: --log-level as
SYCAMORE_LOG_LEVEL. SYCAMORE_CLUSTER_KEY, SYCAMORE_OPERATOR_TOKEN and
SYCAMORE_BACKEND_TOKEN are read from the environment only.
)";

EntrySettings EntrySettings::create(Settings::SettingsReader &Reader) {
  constexpr std::uint64_t DefaultGraceMs = 500;
  constexpr std::uint64_t MostGraceMs = 600'000;
  EntrySettings Result;
  static_cast<DaemonSettings &>(Result) = DaemonSettings::create(Reader);
  Result.Http = Reader.address("--http");
  Result.Peer = Reader.address("--peer");
  bool NamesItself = false;
  for (const std::string &Each : Reader.list("--peers")) {
    auto Parsed = Membership::Peer::create(Each);
    if (!Parsed.ok()) {
      Reader.addError("--peers", std::string(Parsed.status().message()));
      continue;
    }
    NamesItself = NamesItself || Parsed->Daemon == Result.Name;
    Result.Peers.push_back(*Parsed);
  }
  if (!NamesItself)
    Result.Peers.push_back({Result.Name, Result.DataCentre, Result.Peer});
  Result.BackendToken = Reader.secret("SYCAMORE_BACKEND_TOKEN", MinSecretBytes);
  Result.DrainGrace = std::chrono::milliseconds(
      Reader.number("--drain-grace", DefaultGraceMs, 0, MostGraceMs));
  return Result;
}

} // namespace EntryDaemon
