#ifndef SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H
#define SYCAMOREREACH_MEMBERSHIP_SERVERREGISTRY_H

#include "Common/Time.h"
#include "Membership/ServerEnd.h"
#include "Membership/VersionTable.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Membership {

/// The backend servers known to the gateway and the autoscaler; the other parts
/// of the entry daemon use BackendRegistry. Orders the servers' messages by
/// start time and sequence number, so that the result does not depend on the
/// order of arrival. Ages are measured on the local clock.
///
/// Anybody may announce a server. Records of services that are not declared are
/// set aside, where they replace no other record and give no server an address.
class ServerRegistry {
public:
  /// Effect of a message on the registry.
  enum class Outcome {
    /// A property that routing depends on changed.
    Changed,
    /// Only confirms that the server is live.
    Refreshed,
    /// Older than the stored record, or a duplicate.
    Stale,
    /// The service is not declared. The record has no effect until it is.
    SetAside,
  };
  /// Effect of a refresh on the registry.
  enum class RefreshOutcome {
    /// Confirms that the server is live.
    Live,
    /// The phase changed, as the message that changed it was missed.
    PhaseChanged,
    /// Older than the stored record, or a duplicate.
    Stale,
    /// There is no record of this incarnation, and a refresh does not describe
    /// it: the record has to be requested from the sender.
    RecordMissing,
    /// The incarnation's record is set aside.
    SetAside,
  };
  struct Entry {
    ServerRecord Record;
    Common::TimePoint HeardAt;
  };

  /// Until setServices, the servers of all services are known and none takes
  /// the address of another one, as it is not known which services are
  /// declared.
  void awaitServices() { this->AwaitsServices = true; }
  /// Declares the services whose servers are used; by default, those of all
  /// services are. Returns the records that were set aside and are of
  /// these services now, for the owner to apply them. A server that was silent
  /// for MaxSetAsideAge is left out, as it may have ended; its next heartbeat
  /// or refresh brings it back. Servers that are known stay so when their
  /// service is not declared any more.
  std::vector<ServerRecord> setServices(std::set<Common::ServiceName> Declared,
                                        Common::TimePoint Now);
  static constexpr Common::Duration MaxSetAsideAge = std::chrono::seconds(5);
  /// Beyond this number, the records that were set aside and silent for longest
  /// are dropped.
  static constexpr std::size_t MaxSetAside = 4096;

  /// Applies a record that a server or another daemon sent.
  Outcome update(const ServerRecord &Record, Common::TimePoint Now);
  /// Marks an incarnation as leaving or gone, also if this registry does not
  /// know it, so that a delayed heartbeat does not add it as serving. Returns
  /// whether that is news; it is none about an older incarnation than the known
  /// one, nor about one whose record is set aside.
  bool applyEnd(const ServerEnd &End, Common::TimePoint Now);
  /// Applies a refresh from another daemon that received message Sequence of
  /// this incarnation, in which the server was in Phase.
  RefreshOutcome refresh(const Common::BackendServerId &Id,
                         std::uint64_t StartedAt, std::uint64_t Sequence,
                         ServerPhase Phase, Common::TimePoint Now);
  /// Removes records of servers that have been gone or silent for longer than
  /// RetentionTime. Until then they reject delayed messages of that
  /// incarnation.
  void removeExpired(Common::TimePoint Now, Common::Duration RetentionTime);

  /// Keeps the version of an incarnation, also if its record is not known yet.
  /// The first version of an incarnation is final. Returns whether it is news.
  bool setVersion(const Common::BackendServerId &Id, std::uint64_t StartedAt,
                  const Common::SoftwareVersion &Version,
                  Common::TimePoint Now) {
    return this->Versions.set(Id, StartedAt, Version, Now);
  }
  /// Nothing if the incarnation's version is unknown.
  std::optional<Common::SoftwareVersion>
  versionOf(const Common::BackendServerId &Id, std::uint64_t StartedAt) const {
    return this->Versions.find(Id, StartedAt);
  }

  const Entry *find(const Common::BackendServerId &Id) const;
  const std::map<Common::BackendServerId, Entry> &entries() const {
    return this->Entries;
  }
  /// The server that last announced itself at the address; empty if none did.
  Common::BackendServerId ownerOf(const Network::Address &Address) const;
  std::vector<ServerRecord> records() const;
  /// Whether the record of this incarnation is set aside.
  bool isSetAside(const Common::BackendServerId &Id,
                  std::uint64_t StartedAt) const;

private:
  /// Whether the record may replace others: its service is declared, it
  /// describes the incarnation that is known, or it was made of a ServerEnd.
  bool isAdmitted(const ServerRecord &Record) const;
  void setAside(const ServerRecord &Record, Common::TimePoint Now);
  /// Sets aside what was known before the services were declared, and gives the
  /// addresses to the others.
  void sortOut();
  const Entry *findSetAside(const Common::BackendServerId &Id,
                            std::uint64_t StartedAt) const;
  Entry *findSetAside(const Common::BackendServerId &Id,
                      std::uint64_t StartedAt);
  /// Marks an older server at the address of Record as gone. Returns false if a
  /// newer server holds the address.
  bool claimAddress(const ServerRecord &Record);

  std::map<Common::BackendServerId, Entry> Entries;
  std::map<Network::Address, Common::BackendServerId> AddressOwners;
  VersionTable Versions;
  bool AwaitsServices = false;
  /// Nothing until they are declared.
  std::optional<std::set<Common::ServiceName>> Services;
  /// By id and service, so that what one writer says of an id does not displace
  /// what another one does.
  std::map<std::pair<Common::BackendServerId, Common::ServiceName>, Entry>
      RecordsSetAside;
};

} // namespace Membership

#endif
