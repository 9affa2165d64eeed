#include "FleetDaemon/FleetSettings.h"

namespace FleetDaemon {

const char *const Usage =
    R"(sycamore-fleet: provisions cloud hosts for sycamorereach

Usage:
  sycamore-fleet [options]
  sycamore-fleet (-h | --help)
  sycamore-fleet --version

Options:
  --name=NAME         Name of this daemon.
  --datacentre=NAME   Data centre of this host.
  --http=IP:PORT      HTTP address for health probes and metrics.
  --cloud=IP:PORT     Address of the cloud's API.
  --entries=LIST      HTTP addresses of entry daemons, separated by commas.
  --state=LIST        Addresses of all state daemons, separated by commas.
  --log-level=LEVEL   debug, info, warning or error; info unless given.
  -h --help           Show this text.
  --version           Show the version.

Each option can be given in the environment: --log-level as
SYCAMORE_LOG_LEVEL. SYCAMORE_CLUSTER_KEY and SYCAMORE_OPERATOR_TOKEN are read
from the environment only.
)";

FleetSettings FleetSettings::create(Settings::SettingsReader &Reader) {
  FleetSettings Result;
  static_cast<DaemonSettings &>(Result) = DaemonSettings::create(Reader);
  Result.Http = Reader.address("--http");
  Result.Cloud = Reader.address("--cloud");
  Result.Entries = Reader.addresses("--entries");
  if (Result.Entries.empty())
    Reader.addError("--entries",
                    "is missing; give the addresses of the entry daemons");
  return Result;
}

} // namespace FleetDaemon
