#include "FaultTests/RoutedRawServer.h"

#include "Network/SocketAddress.h"

#include <array>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace FaultTests {

struct RoutedRawServer::Peer {
  int Descriptor = -1;
  int Requests = 0;
  /// Whether OnHead was called for the request that arrives.
  bool HeadReported = false;
  Network::Http1Reader Reader{Network::Http1Reader::Kind::Requests, {}};
  Network::EventHandle ReadEvent;

  ~Peer() {
    this->ReadEvent.cancel();
    ::close(this->Descriptor);
  }
};

RoutedRawServer::RoutedRawServer(Network::EventLoop &Loop,
                                 const Network::Address &Listen)
    : Loop(Loop) {
  constexpr int Backlog = 64;
  this->Listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  const int On = 1;
  setsockopt(this->Listener, SOL_SOCKET, SO_REUSEADDR, &On, sizeof(On));
  const sockaddr_in Endpoint = Network::toSocketAddress(Listen);
  if (bind(this->Listener, reinterpret_cast<const sockaddr *>(&Endpoint),
           sizeof(Endpoint)) != 0 ||
      listen(this->Listener, Backlog) != 0)
    throw std::runtime_error("cannot listen on " + Listen.str());
  this->AcceptEvent =
      Loop.onReadable(this->Listener, [this] { this->accept(); });
}

RoutedRawServer::~RoutedRawServer() { ::close(this->Listener); }

void RoutedRawServer::accept() {
  const int Descriptor =
      accept4(this->Listener, nullptr, nullptr, SOCK_NONBLOCK);
  if (Descriptor < 0)
    return;
  const ConnectionNumber Number = ++this->LastConnection;
  auto &Accepted = this->Peers[Number] = std::make_unique<Peer>();
  Accepted->Descriptor = Descriptor;
  Accepted->ReadEvent =
      this->Loop.onReadable(Descriptor, [this, Number] { this->read(Number); });
}

void RoutedRawServer::read(ConnectionNumber From) {
  std::array<char, 65536> Buffer{};
  const auto Found = this->Peers.find(From);
  if (Found == this->Peers.end())
    return;
  const ssize_t Length =
      ::read(Found->second->Descriptor, Buffer.data(), Buffer.size());
  if (Length <= 0) {
    if (Length < 0 && errno == EAGAIN)
      return;
    this->Peers.erase(Found);
    if (this->OnPeerClosed)
      this->OnPeerClosed(From);
    return;
  }
  std::string_view Rest(Buffer.data(), static_cast<std::size_t>(Length));
  // The handler may close the connection.
  while (!Rest.empty() && this->isOpen(From)) {
    Peer &Sender = *this->Peers[From];
    Rest.remove_prefix(Sender.Reader.feed(Rest));
    if (!Sender.Reader.isHeadComplete())
      return;
    Arrival Arrived{From, Sender.Requests + 1, Sender.Reader.head(), {}};
    Arrived.RequestId =
        Network::findHeader(Arrived.Head.Headers, "X-Sycamorereach-Request-Id")
            .value_or("");
    if (!std::exchange(Sender.HeadReported, true) && this->OnHead) {
      this->OnHead(Arrived);
      if (!this->isOpen(From))
        return;
    }
    if (Sender.Reader.state() != Network::Http1Reader::State::Complete)
      return;
    ++Sender.Requests;
    Sender.HeadReported = false;
    Sender.Reader.reset();
    if (this->OnRequest)
      this->OnRequest(Arrived);
  }
}

void RoutedRawServer::send(ConnectionNumber To, const std::string &Bytes) {
  const auto Found = this->Peers.find(To);
  // What these tests send fits into the send buffer of the socket.
  if (Found != this->Peers.end())
    static_cast<void>(::send(Found->second->Descriptor, Bytes.data(),
                             Bytes.size(), MSG_NOSIGNAL));
}

void RoutedRawServer::close(ConnectionNumber Which) {
  this->Peers.erase(Which);
}

void RoutedRawServer::stopReading(ConnectionNumber From) {
  const auto Found = this->Peers.find(From);
  if (Found != this->Peers.end())
    Found->second->ReadEvent.cancel();
}

void RoutedRawServer::endWriting(ConnectionNumber To) {
  const auto Found = this->Peers.find(To);
  if (Found != this->Peers.end())
    shutdown(Found->second->Descriptor, SHUT_WR);
}

void RoutedRawServer::reset(ConnectionNumber Which) {
  const auto Found = this->Peers.find(Which);
  if (Found == this->Peers.end())
    return;
  const linger Discard{1, 0};
  setsockopt(Found->second->Descriptor, SOL_SOCKET, SO_LINGER, &Discard,
             sizeof(Discard));
  this->Peers.erase(Found);
}

namespace RawResponse {

namespace {

std::string idHeader(const std::string &RequestId) {
  return RequestId.empty()
             ? ""
             : "X-Sycamorereach-Request-Id: " + RequestId + "\r\n";
}

constexpr const char *SignatureHeader =
    "X-Sycamorereach-Replica-Signature: signed\r\n";

} // namespace

std::string refusal(const std::string &RequestId,
                    const std::string &RetryAfter) {
  return "HTTP/1.1 503 Service Unavailable\r\n" + idHeader(RequestId) +
         "X-Sycamorereach-Not-Executed: full\r\n" +
         (RetryAfter.empty() ? "" : "Retry-After: " + RetryAfter + "\r\n") +
         "Content-Length: 4\r\n\r\nfull";
}

std::string success(const std::string &RequestId, const std::string &Body) {
  return "HTTP/1.1 200 OK\r\n" + idHeader(RequestId) + SignatureHeader +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

std::string streamHead(const std::string &RequestId) {
  return "HTTP/1.1 200 OK\r\n" + idHeader(RequestId) + SignatureHeader +
         "Content-Type: text/event-stream\r\n\r\n";
}

} // namespace RawResponse

} // namespace FaultTests
