#ifndef SYCAMOREREACH_ENTRYDAEMON_SERVICEDISPATCHERS_H
#define SYCAMOREREACH_ENTRYDAEMON_SERVICEDISPATCHERS_H

#include "EntryDaemon/EntryContext.h"
#include "Membership/Digest.h"
#include "Membership/PeerTable.h"
#include "Routing/Dispatcher.h"
#include "Routing/ReturnSchedule.h"

#include <functional>
#include <map>

namespace EntryDaemon {

/// Callbacks by which a dispatcher controls one request.
struct CallHandlers {
  /// Send the request to this server.
  std::function<void(const Common::BackendServerId &)> OnStart;
  /// Cancel the attempt; the request is queued again.
  std::function<void()> OnPreempt;
  /// The server has asked for rest: cancel the attempt if its request has not
  /// been written. Returns whether the request can be queued again.
  std::function<bool()> CancelIfUnsent;
  /// The request is refused and no longer in the dispatcher.
  std::function<void(Common::RefusalReason)> OnRefuse;
};

/// The request dispatchers of all services. Keeps their servers and rules in
/// step with the backend registry and the configuration.
class ServiceDispatchers {
public:
  using OnCrash = std::function<void(const Membership::CrashNotice &)>;
  using OnSurvivals = std::function<void(const Membership::SurvivalNotice &)>;

  ServiceDispatchers(EntryContext &Context, const Membership::PeerTable &Peers);
  /// Sets the callback for servers that fail while they run a request of this
  /// daemon.
  void setCrashHandler(OnCrash NotifyCrash) {
    this->NotifyCrash = std::move(NotifyCrash);
  }

  /// Sets the callback for answers of this daemon that went on although a part
  /// of their prompts is under suspicion.
  void setSurvivalHandler(OnSurvivals NotifySurvivals) {
    this->NotifySurvivals = std::move(NotifySurvivals);
  }

  /// Applies a new configuration.
  void configure();
  /// Updates all dispatchers from the backend registry.
  void refresh();

  /// The reason why the request would be refused now, if any.
  std::optional<Common::RefusalReason>
  checkAdmission(const Common::ServiceName &Service,
                 const Routing::DispatchRequest &Work);
  /// Queues a request. Returns the reason if it is refused; Handlers are not
  /// used in that case.
  std::optional<Common::RefusalReason>
  submit(const Common::ServiceName &Service, Routing::DispatchRequest Work,
         CallHandlers Handlers);
  /// Queues a request that was accepted before and skips the admission check.
  /// Returns false if the service is unknown.
  bool readmit(const Common::ServiceName &Service,
               Routing::DispatchRequest Work, CallHandlers Handlers);

  void onFirstToken(const Common::ServiceName &Service, Common::RequestId Id);
  /// Tokens is the total received so far.
  void onProgress(const Common::ServiceName &Service, Common::RequestId Id,
                  std::uint64_t Tokens);
  void onFinished(const Common::ServiceName &Service, Common::RequestId Id);
  /// The attempt failed; the request is queued for another server or refused.
  void onFailed(const Common::ServiceName &Service, Common::RequestId Id,
                const Common::BackendServerId &Server,
                Routing::Failure Failure);
  /// Processes the head of a server's response, which may say that the server
  /// wants no requests for a time.
  void onResponseHead(const Common::ServiceName &Service, Common::RequestId Id,
                      const Network::HttpResponse &Head);
  /// Whether the request may be written to the server that was chosen for it.
  bool mayWrite(const Common::ServiceName &Service, Common::RequestId Id) const;
  /// The refusal of a call. While all servers of the service rest, it asks the
  /// caller to return after that.
  Common::Refusal refusal(const Common::ServiceName &Service,
                          const Common::PriorityName &Priority,
                          Common::RefusalReason Reason,
                          const std::string &Details);
  /// The attempt was not sent, for a reason unrelated to the server; the
  /// request is queued again.
  void requeue(const Common::ServiceName &Service, Common::RequestId Id);
  /// Removes a request whose caller disconnected or that ended otherwise.
  void remove(const Common::ServiceName &Service, Common::RequestId Id);
  /// Reports a failed server to all daemons and records the requests that ran
  /// on it as possible causes. Call this for requests that are not retried;
  /// onFailed() already does it.
  void reportCrash(const Common::ServiceName &Service,
                   const Common::BackendServerId &Server);
  /// Processes a report of a failed server, of this or another daemon.
  void onServerFailed(const Membership::CrashNotice &Notice);
  /// Processes a report of another daemon's answers that went on.
  void onSurvivals(const Membership::SurvivalNotice &Notice);
  /// Applies the cache events of a server that announced itself to this daemon.
  void applyCacheEvents(const Membership::Announcement &Announced);
  /// Charges a caller for its use at another daemon.
  void chargeRemoteUsage(const Membership::CallerUsage &Use);

  /// Waiting and running requests per service, without idle services.
  std::vector<Membership::ServiceDemand> demands() const;
  /// The callers with the highest use since the previous call.
  std::vector<Membership::CallerUsage> takeTopCallerUsage();
  /// Null for an unknown service.
  const Routing::Dispatcher *
  findDispatcher(const Common::ServiceName &Service) const;
  /// Whether the server may get requests of this service now.
  bool isUsable(const Common::ServiceName &Service,
                const Common::BackendServerId &Server) const;

private:
  struct ServiceEntry {
    explicit ServiceEntry(Routing::DispatchOptions Options)
        : Dispatcher(Options) {}
    Routing::Dispatcher Dispatcher;
    std::map<Common::RequestId, CallHandlers> Calls;
    bool PollScheduled = false;
  };

  ServiceEntry *findEntry(const Common::ServiceName &Service);
  void schedulePoll(const Common::ServiceName &Service);
  void poll(const Common::ServiceName &Service);
  void execute(ServiceEntry &Entry, const Routing::Action &Action);
  /// Refuses the prompt parts that are found to crash servers, and reports the
  /// survivals of suspects.
  void updatePromptQuarantine(const Common::ServiceName &Service,
                              ServiceEntry &Entry);
  void refreshPool(const Common::ServiceName &Service, ServiceEntry &Entry);

  EntryContext &Context;
  const Membership::PeerTable &Peers;
  std::map<Common::ServiceName, ServiceEntry> Services;
  /// Differs per daemon, so that daemons round their shares of a server's slots
  /// differently.
  std::uint64_t DaemonSalt;
  OnCrash NotifyCrash;
  OnSurvivals NotifySurvivals;
  Routing::ReturnSchedule Returns;
};

} // namespace EntryDaemon

#endif
