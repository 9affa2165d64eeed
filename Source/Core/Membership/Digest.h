#ifndef SYCAMOREREACH_MEMBERSHIP_DIGEST_H
#define SYCAMOREREACH_MEMBERSHIP_DIGEST_H

#include "Common/CauseSet.h"
#include "Common/Ids.h"
#include "Membership/Announcement.h"

#include <cstdint>
#include <variant>
#include <vector>

/// \file
/// Gossip messages that entry daemons exchange over UDP.

namespace Membership {

/// An announcement and the time since a daemon received it directly.
struct AgedAnnouncement {
  Announcement Announced;
  std::uint64_t AgeMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Announced, this->AgeMicros);
  }
};

/// Number of a daemon's waiting and running requests at a service.
struct ServiceDemand {
  Common::ServiceName Service;
  std::uint64_t Requests = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Requests);
  }
};

/// Cost units served to a caller since the last digest.
struct CallerUsage {
  Common::ServiceName Service;
  Common::CallerId Caller;
  std::uint64_t Cost = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Caller, this->Cost);
  }
};

/// Sent four times a second to the entry daemons of the local data centre.
struct Digest {
  Common::DaemonId From;
  Common::DataCentreId DataCentre;
  Common::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion Configuration;
  bool Leaving = false;
  /// Servers that announced themselves to the sender since the last digest.
  std::vector<AgedAnnouncement> Servers;
  std::vector<ServiceDemand> Demands;
  /// The callers with the highest usage.
  std::vector<CallerUsage> CallerUsages;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->DataCentre, this->Incarnation, this->Sequence,
       this->Configuration, this->Leaving, this->Servers, this->Demands,
       this->CallerUsages);
  }
};

/// One incarnation of an entry daemon.
struct DaemonIncarnation {
  Common::DaemonId Daemon;
  Common::Incarnation Incarnation;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Daemon, this->Incarnation);
  }
};

/// Sent once a second by one daemon of each data centre to all daemons of the
/// other data centres: some servers of each service with free capacity, and the
/// live daemons.
struct Summary {
  Common::DaemonId From;
  Common::DataCentreId DataCentre;
  Common::ConfigurationVersion Configuration;
  std::vector<DaemonIncarnation> LiveDaemons;
  std::vector<AgedAnnouncement> Servers;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->DataCentre, this->Configuration, this->LiveDaemons,
       this->Servers);
  }
};

/// Sent immediately to all daemons when servers stop accepting new requests.
struct LeavingNotice {
  std::vector<AgedAnnouncement> Servers;
  /// Hosts that the cloud reclaims, with all servers on them.
  std::vector<Common::HostId> Hosts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Servers, this->Hosts);
  }
};

/// Sent immediately to all daemons when a server fails while running requests.
struct CrashNotice {
  Common::ServiceName Service;
  Common::BackendServerId BackendServer;
  Common::Incarnation Incarnation;
  /// Fingerprints of the requests that the sender was running there.
  std::vector<std::uint64_t> RequestFingerprints;
  /// The prompt parts of those whose answers had just begun.
  std::vector<Common::CauseSet> LostRuns;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->BackendServer, this->Incarnation,
       this->RequestFingerprints, this->LostRuns);
  }
};

/// Sent to all daemons when answers went on although a part of their prompts is
/// suspected to crash servers.
struct SurvivalNotice {
  struct Part {
    Common::CauseHash Hash = 0;
    /// Time since the answer began.
    std::uint64_t AgeMicros = 0;
    template <class Archive> void serialize(Archive &Ar) {
      Ar(this->Hash, this->AgeMicros);
    }
  };
  Common::ServiceName Service;
  std::vector<Part> Parts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Parts);
  }
};

/// Sent to the local data centre when the sender has a newer configuration.
struct ConfigurationNotice {
  Common::DaemonId From;
  Common::ConfigurationVersion Version;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Version);
  }
};

using Datagram = std::variant<Digest, Summary, LeavingNotice, CrashNotice,
                              ConfigurationNotice, SurvivalNotice>;

} // namespace Membership

#endif
