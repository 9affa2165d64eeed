#ifndef SYCAMOREREACH_MEMBERSHIP_DIGEST_H
#define SYCAMOREREACH_MEMBERSHIP_DIGEST_H

#include "Common/Ids.h"
#include "Membership/Announcement.h"

#include <cstdint>
#include <variant>
#include <vector>

/// \file
/// What entry daemons tell each other over UDP.

namespace Membership {

/// An announcement that was heard directly, and how long ago.
struct AgedAnnouncement {
  Membership::Announcement Announcement;
  std::uint64_t AgeMicros = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Announcement, this->AgeMicros);
  }
};

/// Requests that a daemon has at a service: waiting and running.
struct ServiceDemand {
  Common::ServiceName Service;
  std::uint64_t Requests = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Requests);
  }
};

/// Cost units that a caller was served since the last digest.
struct CallerUsage {
  Common::ServiceName Service;
  Common::CallerId Caller;
  std::uint64_t Cost = 0;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->Caller, this->Cost);
  }
};

/// Sent four times a second to the entry daemons of the own data centre.
struct Digest {
  Common::DaemonId From;
  Common::DataCentreId DataCentre;
  Common::Incarnation Incarnation;
  std::uint64_t Sequence = 0;
  Common::ConfigurationVersion Configuration;
  bool Leaving = false;
  /// Servers that announced themselves since the last digest.
  std::vector<AgedAnnouncement> Servers;
  std::vector<ServiceDemand> Demands;
  /// The heaviest callers.
  std::vector<CallerUsage> CallerUsages;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->DataCentre, this->Incarnation, this->Sequence,
       this->Configuration, this->Leaving, this->Servers, this->Demands,
       this->CallerUsages);
  }
};

/// One life of an entry daemon.
struct DaemonIncarnation {
  Common::DaemonId Daemon;
  Common::Incarnation Incarnation;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Daemon, this->Incarnation);
  }
};

/// Sent once a second by one daemon of each data centre to all daemons of
/// the others: a few servers of each service that have room, and who lives.
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

/// Sent at once to everybody when servers stop taking new work.
struct LeavingNotice {
  std::vector<AgedAnnouncement> Servers;
  /// Hosts that are taken back, with all that runs there.
  std::vector<Common::HostId> Hosts;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Servers, this->Hosts);
  }
};

/// Sent at once to everybody: a request was running when a server failed.
struct CrashNotice {
  Common::ServiceName Service;
  Common::BackendServerId BackendServer;
  Common::Incarnation Incarnation;
  /// Fingerprints of all that ran there for the sender.
  std::vector<std::uint64_t> Suspects;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->Service, this->BackendServer, this->Incarnation, this->Suspects);
  }
};

/// Sent to the own data centre when a newer configuration is held.
struct ConfigurationNotice {
  Common::DaemonId From;
  Common::ConfigurationVersion Version;

  template <class Archive> void serialize(Archive &Ar) {
    Ar(this->From, this->Version);
  }
};

using Datagram = std::variant<Digest, Summary, LeavingNotice, CrashNotice,
                              ConfigurationNotice>;

} // namespace Membership

#endif
