// The operator takes the last tenant away: the configuration contains
// `tenants`, and the list is empty. From then on no key is known, so no request
// on a route that is not public may run.

#include "../harness-2/servers.h"

using namespace Review;

namespace {

constexpr double RevokeSeconds = 5.0;
constexpr int Edges = 2;

struct Sent {
  std::string Key;
  double At = 0;
  int Status = 0;
};

std::string documentOf(std::uint64_t Version, bool WithTenant) {
  std::string Result =
      configuration(Version, {{"/orders/", "unsafe", "orders"}}, {"orders"});
  if (WithTenant)
    return Result;
  const std::size_t Begin = Result.find("\"tenants\":[") + 11;
  return Result.replace(Begin, Result.rfind(']') - Begin, "");
}

int runThis() {
  Deployment Of(Edges);
  Of.startAll(documentOf(7, true));
  std::vector<std::unique_ptr<Replica>> Servers;
  for (int I = 1; I <= 2; ++I) {
    Replica::Options Given;
    Given.Id = "i-" + std::to_string(I);
    Given.Listen = Of.server(I);
    Given.FirstCore = I;
    Servers.push_back(std::make_unique<Replica>(Of, Given));
  }
  sleepFor(2.5);

  std::map<std::string, Sent> AllSent;
  const auto Send = [&](const std::string &Key) {
    for (int Edge = 1; Edge <= Edges; ++Edge) {
      const std::string Id = "request-" + std::to_string(AllSent.size() + 1);
      const double At = now();
      const Message Answer = call(Of.front(Edge), "POST", "/orders/x",
                                  {{"Host", "yard.example"},
                                   {"X-Sycamorereach-Request-Id", Id},
                                   {"X-Sycamorereach-Request-Deadline", "1500"},
                                   {"Authorization", "Bearer " + Key}},
                                  "reserve", 2);
      AllSent[Id] = {Key, At, Answer.Status};
      note("sent " + Id + " with " + Key + " to edge-" + std::to_string(Edge) +
           ", answered " + std::to_string(Answer.Status));
    }
  };
  Send("key-of-yard");
  Send("key-of-nobody");
  for (const auto &[Id, Each] : AllSent)
    if (Each.Status != (Each.Key == "key-of-yard" ? 200 : 401))
      cannotRun("the keys are not obeyed before the change");

  const std::string Change = documentOf(8, !hasTrouble());
  note("sends " + Change.substr(Change.find("\"tenants\"")));
  if (!Of.declare(Change, 5))
    cannotRun("the change was not acknowledged");
  const double AcknowledgedAt = now();
  note("version 8 acknowledged");
  sleepFor(RevokeSeconds + 0.5);
  for (int I = 0; I < 10; ++I) {
    Send("key-of-yard");
    Send("key-of-nobody");
    sleepFor(0.1);
  }

  int Revoked = 0;
  int Unknown = 0;
  for (const auto &Server : Servers)
    for (const Replica::Run &Each : Server->runs()) {
      const Sent &From = AllSent[Each.RequestId];
      const bool IsLate = From.At > AcknowledgedAt + RevokeSeconds;
      if (From.Key == "key-of-nobody") {
        ++Unknown;
        note("broken: " + Each.RequestId +
             " ran with a key that no configuration ever held");
      } else if (IsLate && hasTrouble()) {
        ++Revoked;
        note("broken: " + Each.RequestId + " ran " +
             std::to_string(From.At - AcknowledgedAt) +
             " s after the change that took its key away");
      }
    }
  note("ran with a key that was taken away " + std::to_string(Revoked) +
       ", with a key that never was " + std::to_string(Unknown));
  return Revoked + Unknown > 0 ? 1 : 0;
}

} // namespace

int main(int Count, char **Arguments) {
  return runCase(Count, Arguments, runThis);
}
