#include "StateDaemon/StateSettings.h"

namespace StateDaemon {

const char *const Usage = R"(sycamore-state: replicated state of sycamorereach

Usage:
  sycamore-state format [options]
  sycamore-state run [options]
  sycamore-state (-h | --help)
  sycamore-state --version

Options:
  --name=NAME         Name of this daemon.
  --datacentre=NAME   Data centre of this host.
  --data=FOLDER       Formatted data folder.
  --listen=IP:PORT    Where other daemons connect.
  --http=IP:PORT      Where operators and monitors connect.
  --state=LIST        Addresses of all state daemons, separated by commas.
  --founders=LIST     First voters as IDENTITY@IP:PORT@DATACENTRE, separated
                      by commas; used on the first start only.
  --log-level=LEVEL   debug, info, warning or error.
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
      Reader.fault("--founders", std::string(Member.status().message()));
  }
  return Result;
}

} // namespace StateDaemon
