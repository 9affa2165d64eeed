#include "Fakes/Announcer.h"

namespace Fakes {

namespace {

constexpr Common::Duration Period = std::chrono::milliseconds(500);
constexpr Common::Duration CallLimit = std::chrono::seconds(1);

} // namespace

Announcer::Announcer(Network::EventLoop &Loop, Network::HttpClient &Http,
                     std::vector<Network::Address> Entries, std::string Token,
                     Membership::Announcement About, Describe Update)
    : Loop(Loop), Http(Http), Entries(std::move(Entries)),
      Token(std::move(Token)), About(std::move(About)),
      Update(std::move(Update)) {
  this->About.Incarnation =
      Common::Incarnation{this->Loop.wallNow().Milliseconds};
}

void Announcer::start() {
  this->announceNow();
  this->Timer = this->Loop.callEvery(Period, [this] { this->announceNow(); });
}

void Announcer::leave() {
  this->About.State = Membership::ServerState::Leaving;
  this->announceNow();
}

void Announcer::announceNow() {
  if (this->Entries.empty())
    return;
  ++this->About.Sequence;
  this->About.CacheEvents.clear();
  this->Update(this->About);
  Network::HttpCall Call;
  Call.To = this->Entries[this->NextEntry++ % this->Entries.size()];
  Call.Timeout = CallLimit;
  Call.Request.Method = Network::HttpMethod::Post;
  Call.Request.Target = "/v1/announce";
  Call.Request.Headers = {{"Authorization", "Bearer " + this->Token}};
  Call.Request.Body = Membership::formatAnnouncement(this->About);
  this->Http.start(std::move(Call), {});
}

} // namespace Fakes
