#include "StateDaemon/StateSettings.h"

namespace StateDaemon {

const char *const Usage = R"(sycamore-state: replicated state of sycamorereach

Usage:
  sycamore-state format [options]
  sycamore-state run [options]
  sycamore-state control [options]
  sycamore-state (-h | --help)
  sycamore-state --version

Options:
  --name=NAME         Name of this daemon.
  --datacentre=NAME   Data centre of this host.
  --data=FOLDER       Formatted data folder.
  --listen=IP:PORT    Where other daemons connect.
  --http=IP:PORT      Where operators and monitors connect.
  --state=LIST        Addresses of all state daemons, separated by commas.
  --founders=LIST     Initial voters as IDENTITY@IP:PORT@DATACENTRE, separated
                      by commas; used on the first start only.
  --memory=MB         Memory of this host for the daemon; 1,074 by default.
  --descriptors=N     Maximum number of open descriptors; by default the limit
                      of the process.
  --log-level=LEVEL   debug, info, warning or error.

Control options: (name, datacentre, data, http, memory, descriptors and
                  log-level are as above)
  --settings-file=FILE     Lines of NAME=value, named as in the environment;
                           the environment overrides the file.
  --link-port=PORT         Port of the links between daemons, same on all hosts.
  --metrics-port=PORT      Port of /metrics; 0 for none.
  --seeds=LIST             HTTP addresses of some state daemons.
  --first-start=BOOL       true if the system starts for the first time.
  --tolerated-hosts=N      State daemons (one per host) that may fail at once.
  --catch-up-time=S        Time after the start of a daemon that replaces a lost
                           one in which it takes over its vote.
  --allowance-slack=N      Tokens allowed above a team's limits per window.
  --allowance-over=N       Use allowed above the limits, as a fraction of them.
  --allowance-window=S     Window over which a team's use is counted.
  --duty-address=IP:PORT   Where duty calls are sent.
  --duty-rate=N            Duty calls per second, over all daemons.
  --duties=LIST            usage_report and scale, separated by commas.
  --duty-lease=MS          Minimum time between calls of two duty holders.
  --usage-window=S         Length of a usage window.
  -h --help           Show this text.
  --version           Show the version.

Each option can be given in the environment: --log-level as
SYCAMORE_LOG_LEVEL. SYCAMORE_CLUSTER_KEY and SYCAMORE_OPERATOR_TOKEN are read
from the environment only.
)";

StateSettings StateSettings::create(Settings::SettingsReader &Reader) {
  StateSettings Result;
  static_cast<DaemonSettings &>(Result) = DaemonSettings::create(Reader);
  Result.DataPath = Reader.required("--data");
  Result.Listen = Reader.address("--listen");
  Result.Http = Reader.address("--http");
  for (const std::string &Each : Reader.list("--founders")) {
    auto Member = Consensus::Member::create(Each);
    if (Member.ok())
      Result.Founders.push_back(*Member);
    else
      Reader.addError("--founders", std::string(Member.status().message()));
  }
  return Result;
}

} // namespace StateDaemon
