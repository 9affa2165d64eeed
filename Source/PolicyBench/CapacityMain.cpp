#include "Journal/RequestJournal.h"
#include "Membership/Digest.h"
#include "Network/Codec.h"
#include "Network/EventLoop.h"
#include "Network/Frame.h"
#include "Routing/Dispatcher.h"

#include <absl/strings/str_format.h>
#include <iostream>

namespace {

using namespace std::chrono_literals;

/// Calls Run Rounds times and returns the mean time in microseconds.
template <typename Callable>
double measureMicroseconds(int Rounds, Callable Run) {
  const auto Loop = *Network::EventLoop::create();
  const Common::TimePoint Start = Loop->now();
  for (int I = 0; I < Rounds; ++I)
    Run(I);
  return double((Loop->now() - Start).count()) / double(Rounds);
}

Membership::AgedAnnouncement makeServer(std::size_t Number) {
  Membership::AgedAnnouncement Result;
  Result.Announced.BackendServer =
      Common::BackendServerId("engine-" + std::to_string(1000 + Number));
  Result.Announced.Service = Common::ServiceName("assistant");
  Result.Announced.Model = Common::ModelName("sleeper-7b");
  Result.Announced.ModelVersion = "1";
  Result.Announced.Address = {"10.20.30.40", 8000};
  Result.Announced.Host = Common::HostId("host-" + std::to_string(Number));
  Result.Announced.DataCentre = Common::DataCentreId("finland-1");
  return Result;
}

void measureGossip() {
  std::cout << "gossip: servers per message, bytes, microseconds to encode and "
               "to decode a frame\n";
  const Network::FrameCodec Codec(Network::ClusterKey{"0123456789abcdef"});
  for (const std::size_t Servers : {0, 8, 83, 250}) {
    Membership::Digest Digest;
    Digest.From = Common::DaemonId("entry-100");
    Digest.DataCentre = Common::DataCentreId("finland-1");
    Digest.Demands = {{Common::ServiceName("assistant"), 12}};
    for (std::size_t I = 0; I < 8; ++I)
      Digest.CallerUsages.push_back(
          {Common::ServiceName("assistant"),
           Common::CallerId("caller-" + std::to_string(I)), 1000});
    for (std::size_t I = 0; I < Servers; ++I)
      Digest.Servers.push_back(makeServer(I));
    const Membership::Datagram Message = Digest;
    std::string EncodedFrame;
    const double EncodeTime = measureMicroseconds(200, [&](int) {
      EncodedFrame = Codec.encodeFrame(Network::encode(Message));
    });
    const double DecodeTime = measureMicroseconds(200, [&](int) {
      std::string Buffer = EncodedFrame;
      const auto DecodedFrame = Codec.decodeFrame(Buffer);
      (void)Network::decode<Membership::Datagram>(
          std::get<Network::FrameCodec::Payload>(DecodedFrame).Bytes);
    });
    std::cout << absl::StrFormat("  %4d servers  %6d bytes  %7.1f  %7.1f\n",
                                 Servers, EncodedFrame.size(), EncodeTime,
                                 DecodeTime);
  }
}

void measureJournal() {
  std::cout << "journal: completed requests, snapshot bytes per request, "
               "milliseconds to write and to read a snapshot\n";
  for (const std::size_t Count : {1'000, 10'000, 100'000}) {
    Journal::RequestJournal Requests;
    for (std::size_t I = 0; I < Count; ++I) {
      Journal::AcceptCommand Accept;
      Accept.Key = {Common::CallerId("yard"),
                    Common::IdempotencyKey("key-" + std::to_string(I))};
      Accept.Fingerprint = std::string(64, 'f');
      Accept.Content.Body = std::string(200, 'x');
      Accept.RetentionMilliseconds = 86'400'000;
      Requests.apply(Accept);
      Requests.apply(Journal::ClaimCommand{Accept.Key, {}, {1}, {}, {}});
      Requests.apply(Journal::CompleteCommand{
          Accept.Key, {1}, {200, {}, std::string(200, 'a')}});
    }
    std::string Bytes;
    const double EncodeTime =
        measureMicroseconds(1, [&](int) { Bytes = Network::encode(Requests); });
    const double DecodeTime = measureMicroseconds(
        1, [&](int) { (void)Network::decode<Journal::RequestJournal>(Bytes); });
    std::cout << absl::StrFormat("  %6d requests  %4d bytes  %7.1f  %7.1f\n",
                                 Count, Bytes.size() / Count, EncodeTime / 1000,
                                 DecodeTime / 1000);
  }
}

void measureDispatcher() {
  std::cout
      << "dispatcher: servers, waiting requests, microseconds per request "
         "from arrival to completion\n";
  const Common::PriorityName Urgent("urgent");
  for (const std::size_t Servers : {12, 83, 250})
    for (const std::size_t Waiting : {0, 1'000}) {
      Routing::DispatchOptions Options;
      Options.RefuseEarly = false;
      Options.Preempt = false;
      Routing::Dispatcher Dispatcher(Options);
      Dispatcher.configure({{Urgent, {0, 0.2, 1}}});
      for (std::size_t I = 0; I < Servers; ++I) {
        Routing::ServerStatus Status;
        Status.Id = Common::BackendServerId("b" + std::to_string(I));
        Status.Capacity = {8, 1000};
        Dispatcher.pool().update(Status);
      }
      Common::TimePoint Now(1h);
      std::uint64_t LastId = 0;
      const auto SubmitRequest = [&] {
        Routing::DispatchRequest Request;
        Request.Id = Common::RequestId{++LastId};
        Request.Caller = Common::CallerId("c" + std::to_string(LastId % 50));
        Request.Priority = Urgent;
        Request.Target = 60s;
        Request.Fingerprint = LastId;
        Request.AffinityKey = LastId | 1;
        Request.Blocks = {LastId, LastId + 1, LastId + 2, LastId + 3};
        Request.PromptTokens = 400;
        Request.ExpectedTokens = 100;
        Dispatcher.submit(Request, Now);
      };
      const std::size_t RunningCount = Waiting == 0 ? Servers * 4 : Servers * 8;
      std::vector<Common::RequestId> Running;
      const auto Poll = [&] {
        for (const Routing::Action &Action : Dispatcher.poll(1, 7, Now))
          if (const auto *Start = std::get_if<Routing::StartAction>(&Action))
            Running.push_back(Start->Id);
      };
      for (std::size_t I = 0; I < RunningCount + Waiting; ++I)
        SubmitRequest();
      Poll();
      const double RequestTime = measureMicroseconds(2'000, [&](int I) {
        Now += 100us;
        SubmitRequest();
        Dispatcher.onFinished(Running[static_cast<std::size_t>(I)], Now);
        Poll();
      });
      std::cout << absl::StrFormat("  %4d servers  %5d waiting  %7.1f\n",
                                   Servers, Waiting, RequestTime);
    }
}

} // namespace

/// Measures how message size and processing time grow with the number of
/// servers and requests, for docs/CAPACITY.md.
int main() {
  measureGossip();
  measureJournal();
  measureDispatcher();
  return 0;
}
