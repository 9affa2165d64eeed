#include "EntryDaemon/RoutedCall.h"

#include "Telemetry/LogEvents.h"

// What is logged and counted of the connections of a routed call, and of the
// answers that come on them.

namespace EntryDaemon {

namespace {

namespace Events = Telemetry::Events;

/// Requests that waited longer for a connection are logged.
constexpr Common::Duration MinLoggedWriteDelay = std::chrono::milliseconds(50);

const char *kindOf(int Status, const Platform::ResponseHeaders &Decoded) {
  if (Decoded.NotExecuted)
    return "rejection";
  return Status >= 200 && Status < 300 ? "success" : "failure";
}

} // namespace

void RoutedCall::handleSent(bool AsSecond) {
  std::optional<Attempt> &Written =
      AsSecond ? this->SecondAttempt : this->CurrentAttempt;
  if (!Written)
    return;
  Written->Connection = Network::Http1Client::connectionUse(Written->Call);
  this->Context.Metrics.incrementLabelledCounter(
      "requests_written_total", "connection",
      Written->Connection.Use == 1 ? "new" : "reused");
  const auto Waited = this->Context.Loop.now() - Written->SentAt;
  if (this->Attempts > 0 || AsSecond)
    Telemetry::log(Events::RequestRepeated, this->CallerHeaders.RequestId,
                   Written->Server.Id.str(), this->Attempts,
                   Written->Connection.Connection, Written->Connection.Use,
                   Common::toMilliseconds(Waited));
  if (AsSecond)
    return;
  if (Waited > MinLoggedWriteDelay)
    Telemetry::log(Events::RequestWrittenLate, this->CallerHeaders.RequestId,
                   Written->Server.Id.str(), Common::toMilliseconds(Waited));
  this->observeSent();
}

AnswerOwner RoutedCall::attribute(Attempt &Receiver, int Status,
                                  const Platform::ResponseHeaders &Decoded) {
  const Network::ConnectionUse &Connection = Receiver.Connection;
  const AnswerOwner Owner = ownerOf(Decoded, this->CallerHeaders.RequestId,
                                    Connection, Receiver.AnswerSkipped);
  Receiver.AnswerSkipped |= Owner == AnswerOwner::OtherRequest;
  if (Decoded.RequestId.empty())
    this->Context.Metrics.incrementLabelledCounter(
        "unnamed_answers_total", "connection",
        Connection.Use == 1 ? "new" : "reused");
  if (Owner != AnswerOwner::CurrentRequest) {
    this->Context.Metrics.incrementLabelledCounter(
        "foreign_answers_total", "kind", kindOf(Status, Decoded));
    Telemetry::log(Events::ForeignAnswer, this->CallerHeaders.RequestId,
                   Decoded.RequestId, Receiver.Server.Id.str(),
                   Connection.Connection, Connection.Use, Status,
                   Decoded.NotExecuted ? "1" : "0");
    return Owner;
  }
  if (Decoded.NotExecuted)
    Telemetry::log(
        Events::RequestRejected, this->CallerHeaders.RequestId,
        Receiver.Server.Id.str(), Connection.Connection, Connection.Use, Status,
        Decoded.RequestId.empty() ? "none" : "own",
        Common::toMilliseconds(this->Context.Loop.now() - Receiver.SentAt));
  return Owner;
}

void RoutedCall::noteMalformed(bool FromSecond) {
  this->Context.Metrics.incrementCounter("malformed_answers_total");
  const std::optional<Attempt> &Receiver =
      FromSecond ? this->SecondAttempt : this->CurrentAttempt;
  if (Receiver)
    Telemetry::log(Events::MalformedAnswer, this->CallerHeaders.RequestId,
                   Receiver->Server.Id.str(), Receiver->Connection.Connection,
                   Receiver->Connection.Use);
}

void RoutedCall::noteLeaving(const Attempt &Receiver,
                             const Platform::ResponseHeaders &Decoded) {
  // A misdirected request was answered by another server.
  if (!Decoded.Leaving || Decoded.Misdirected)
    return;
  const Routing::PlacementChoice &From = Receiver.Server;
  if (!this->Context.Servers.recordLeaving(From, this->Context.Loop.now()))
    return;
  this->Context.Metrics.incrementCounter("servers_leaving_total");
  Telemetry::log(Events::ServerCondition, From.Id.str(), From.ServerStartedAt,
                 "leaving", "answer", this->CallerHeaders.RequestId, "");
}

bool RoutedCall::takeRetry(Common::TimePoint Now) {
  const bool Taken = this->Context.Retries.tryConsume(this->Service, Now);
  this->Context.Metrics.incrementLabelledCounter(
      "retry_budget_total", "decision", Taken ? "granted" : "denied");
  return Taken;
}

} // namespace EntryDaemon
