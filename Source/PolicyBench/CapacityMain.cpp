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

/// Times Run over a number of rounds; microseconds for each.
template <typename Callable> double microsFor(int Rounds, Callable Run) {
  const auto Loop = *Network::EventLoop::create();
  const Common::TimePoint From = Loop->now();
  for (int I = 0; I < Rounds; ++I)
    Run(I);
  return double((Loop->now() - From).count()) / double(Rounds);
}

Membership::AgedAnnouncement serverOf(std::size_t Number) {
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

void digests() {
  std::cout << "gossip: servers in the message, bytes, microseconds to encode "
               "and seal, and to open and decode\n";
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
      Digest.Servers.push_back(serverOf(I));
    const Membership::Datagram Message = Digest;
    std::string Sealed;
    const double Out = microsFor(200, [&](int) {
      Sealed = Codec.encodeFrame(Network::encode(Message));
    });
    const double In = microsFor(200, [&](int) {
      std::string Buffer = Sealed;
      const auto Opened = Codec.decodeFrame(Buffer);
      (void)Network::decode<Membership::Datagram>(
          std::get<Network::FrameCodec::Payload>(Opened).Bytes);
    });
    std::cout << absl::StrFormat("  %4d servers  %6d bytes  %7.1f  %7.1f\n",
                                 Servers, Sealed.size(), Out, In);
  }
}

void journals() {
  std::cout << "journal: finished requests, snapshot bytes for each, "
               "milliseconds to write and to read a snapshot\n";
  for (const std::size_t Count : {1'000, 10'000, 100'000}) {
    Journal::RequestJournal Log;
    for (std::size_t I = 0; I < Count; ++I) {
      Journal::AcceptCommand Accept;
      Accept.Key = {Common::CallerId("yard"),
                    Common::IdempotencyKey("key-" + std::to_string(I))};
      Accept.Fingerprint = std::string(64, 'f');
      Accept.Content.Body = std::string(200, 'x');
      Accept.RetentionMilliseconds = 86'400'000;
      Log.apply(Accept);
      Log.apply(Journal::ClaimCommand{Accept.Key, {}, {1}, {}, {}});
      Log.apply(Journal::CompleteCommand{
          Accept.Key, {1}, {200, {}, std::string(200, 'a')}});
    }
    std::string Bytes;
    const double Out = microsFor(1, [&](int) { Bytes = Network::encode(Log); });
    const double In = microsFor(
        1, [&](int) { (void)Network::decode<Journal::RequestJournal>(Bytes); });
    std::cout << absl::StrFormat("  %6d requests  %4d bytes  %7.1f  %7.1f\n",
                                 Count, Bytes.size() / Count, Out / 1000,
                                 In / 1000);
  }
}

void dispatching() {
  std::cout << "dispatcher: servers, waiting requests, microseconds for a "
               "request from arrival to its end\n";
  const Common::PriorityName Urgent("urgent");
  for (const std::size_t Servers : {12, 83, 250})
    for (const std::size_t Waiting : {0, 1'000}) {
      Routing::DispatchOptions Rules;
      Rules.RefuseEarly = false;
      Rules.Preempt = false;
      Routing::Dispatcher Dispatcher(Rules);
      Dispatcher.configure({{Urgent, {0, 0.2, 1}}});
      for (std::size_t I = 0; I < Servers; ++I) {
        Routing::ServerStatus Facts;
        Facts.Id = Common::BackendServerId("b" + std::to_string(I));
        Facts.Capacity = {8, 1000};
        Dispatcher.pool().update(Facts);
      }
      Common::TimePoint Now(1h);
      std::uint64_t Last = 0;
      const auto Arrive = [&] {
        Routing::DispatchRequest Work;
        Work.Id = Common::RequestId{++Last};
        Work.Caller = Common::CallerId("c" + std::to_string(Last % 50));
        Work.Priority = Urgent;
        Work.Target = 60s;
        Work.Fingerprint = Last;
        Work.AffinityKey = Last | 1;
        Work.Blocks = {Last, Last + 1, Last + 2, Last + 3};
        Work.PromptTokens = 400;
        Work.ExpectedTokens = 100;
        Dispatcher.submit(Work, Now);
      };
      const std::size_t Busy = Waiting == 0 ? Servers * 4 : Servers * 8;
      std::vector<Common::RequestId> Running;
      const auto Poll = [&] {
        for (const Routing::Action &Each : Dispatcher.poll(1, 7, Now))
          if (const auto *Start = std::get_if<Routing::StartAction>(&Each))
            Running.push_back(Start->Id);
      };
      for (std::size_t I = 0; I < Busy + Waiting; ++I)
        Arrive();
      Poll();
      const double Each = microsFor(2'000, [&](int I) {
        Now += 100us;
        Arrive();
        Dispatcher.onFinished(Running[static_cast<std::size_t>(I)], Now);
        Poll();
      });
      std::cout << absl::StrFormat("  %4d servers  %5d waiting  %7.1f\n",
                                   Servers, Waiting, Each);
    }
}

} // namespace

/// Slopes for docs/CAPACITY.md: how bytes and time grow with size.
int main() {
  digests();
  journals();
  dispatching();
  return 0;
}
