#include "Fakes/Announcer.h"

namespace Fakes {

namespace {

constexpr Common::Duration AnnouncementPeriod = std::chrono::milliseconds(500);
constexpr Common::Duration RequestTimeout = std::chrono::seconds(1);

} // namespace

Announcer::Announcer(Network::EventLoop &Loop, Network::HttpClient &Http,
                     std::vector<Network::Address> Entries, std::string Token,
                     Membership::Announcement Announcement,
                     UpdateHandler OnUpdate)
    : Loop(Loop), Http(Http), Entries(std::move(Entries)),
      Token(std::move(Token)), Announcement(std::move(Announcement)),
      OnUpdate(std::move(OnUpdate)) {
  this->Announcement.Incarnation =
      Common::Incarnation{this->Loop.wallNow().Milliseconds};
}

void Announcer::start() {
  this->announceNow();
  this->Timer =
      this->Loop.callEvery(AnnouncementPeriod, [this] { this->announceNow(); });
}

void Announcer::announceLeaving() {
  this->Announcement.State = Membership::ServerState::Leaving;
  this->announceNow();
}

void Announcer::announceNow() {
  if (this->Entries.empty())
    return;
  ++this->Announcement.Sequence;
  this->Announcement.CacheEvents.clear();
  this->OnUpdate(this->Announcement);
  Network::HttpCall Call;
  Call.To = this->Entries[this->NextAddress++ % this->Entries.size()];
  Call.Timeout = RequestTimeout;
  Call.Request.Method = Network::HttpMethod::Post;
  Call.Request.Target = "/v1/announce";
  Call.Request.Headers = {{"Authorization", "Bearer " + this->Token}};
  Call.Request.Body = Membership::formatAnnouncement(this->Announcement);
  this->Http.start(std::move(Call), {});
}

} // namespace Fakes
