#ifndef SYCAMOREREACH_ENTRYDAEMON_LANES_H
#define SYCAMOREREACH_ENTRYDAEMON_LANES_H

#include "EntryDaemon/EntryContext.h"
#include "Membership/Digest.h"
#include "Membership/PeerTable.h"
#include "Routing/Dispatcher.h"

#include <functional>
#include <map>

namespace EntryDaemon {

/// How the orders for one request are carried out.
struct CallHandlers {
  std::function<void(const Common::BackendServerId &)> OnStart;
  std::function<void()> OnPreempt;
  /// The dispatcher has forgotten the request.
  std::function<void(Common::RefusalReason)> OnRefuse;
};

/// The dispatchers of all services, fed with what the registry and the
/// configuration say.
class Lanes {
public:
  using OnCrash = std::function<void(const Membership::CrashNotice &)>;

  Lanes(EntryContext &Context, const Membership::PeerTable &Peers);
  void onCrash(OnCrash Report) { this->Crash = std::move(Report); }

  /// After a new configuration.
  void configure();
  /// Takes over what the registry says now.
  void refresh();

  std::optional<Common::RefusalReason>
  refusalOf(const Common::ServiceName &Service,
            const Routing::WorkRequest &Work);
  std::optional<Common::RefusalReason>
  arrive(const Common::ServiceName &Service, Routing::WorkRequest Work,
         CallHandlers Handle);
  /// For requests that were accepted before. False for an unknown service.
  bool readmit(const Common::ServiceName &Service, Routing::WorkRequest Work,
               CallHandlers Handle);

  void firstToken(const Common::ServiceName &Service, Common::RequestId Id);
  void progress(const Common::ServiceName &Service, Common::RequestId Id,
                std::uint64_t Tokens);
  void finished(const Common::ServiceName &Service, Common::RequestId Id);
  void failed(const Common::ServiceName &Service, Common::RequestId Id,
              const Common::BackendServerId &Server, Routing::Failure What);
  void returned(const Common::ServiceName &Service, Common::RequestId Id);
  void forget(const Common::ServiceName &Service, Common::RequestId Id);
  /// The server failed while it ran the request, which is not tried again.
  void reportCrash(const Common::ServiceName &Service,
                   const Common::BackendServerId &Server);
  /// Another daemon reports a failed server.
  void learn(const Membership::CrashNotice &Notice);
  /// Cache events of a server that announced itself here.
  void learnCache(const Membership::Announcement &Said);
  void learnUse(const Membership::CallerUsage &Use);

  std::vector<Membership::ServiceDemand> demands() const;
  /// The heaviest callers since the last call.
  std::vector<Membership::CallerUsage> takeHeaviestUses();
  const Routing::Dispatcher *find(const Common::ServiceName &Service) const;
  /// Whether the server may get this service's work now.
  bool usable(const Common::ServiceName &Service,
              const Common::BackendServerId &Server) const;

private:
  struct Lane {
    explicit Lane(Routing::DispatchRules Rules) : Dispatcher(Rules) {}
    Routing::Dispatcher Dispatcher;
    std::map<Common::RequestId, CallHandlers> Calls;
    bool PollScheduled = false;
  };

  Lane *lane(const Common::ServiceName &Service);
  void schedulePoll(const Common::ServiceName &Service);
  void poll(const Common::ServiceName &Service);
  void carryOut(Lane &Target, const Routing::Order &Each);
  void refreshPool(const Common::ServiceName &Service, Lane &Target);

  EntryContext &Context;
  const Membership::PeerTable &Peers;
  std::map<Common::ServiceName, Lane> Services;
  std::uint64_t Salt;
  OnCrash Crash;
};

} // namespace EntryDaemon

#endif
