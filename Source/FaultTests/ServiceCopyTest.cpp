#include "FaultTests/Cluster.h"
#include "FaultTests/RoutedRawServer.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace FaultTests {

namespace {

constexpr int Calls = 6;

std::string answer(const std::string &StatusLine, const std::string &Body) {
  return "HTTP/1.1 " + StatusLine +
         "\r\nContent-Length: " + std::to_string(Body.size()) + "\r\n\r\n" +
         Body;
}

Membership::Announcement announcementOf(const Network::Address &Server) {
  Membership::Announcement Result;
  Result.BackendServer = Common::BackendServerId("orders1");
  Result.Service = Common::ServiceName("orders");
  Result.Address = Server;
  Result.Host = Common::HostId("h-orders1");
  Result.DataCentre = Common::DataCentreId("east");
  Result.Incarnation = Common::Incarnation{1};
  return Result;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServiceCopy)

// Guards against answers of a plain service that reach another caller, and
// against callers that are told that a request was refused which the server
// executed. The server refuses the first request. On a connection that carries
// another request, a copy of the answer before precedes the answer.
BOOST_AUTO_TEST_CASE(ACopiedAnswerReachesNoOtherCaller) {
  Cluster Fixture;
  Fixture.startAll();
  const Network::Address Listen{
      "127.0.0.1", static_cast<std::uint16_t>(Fixture.servicePort(1))};
  RoutedRawServer Server(Fixture.loop(), Listen);
  std::map<RoutedRawServer::ConnectionNumber, std::string> LastAnswers;
  int Arrivals = 0;
  Server.OnRequest = [&](const RoutedRawServer::Arrival &Arrived) {
    std::string &Last = LastAnswers[Arrived.Connection];
    Server.send(Arrived.Connection, Last);
    Last = ++Arrivals == 1 ? answer("503 Service Unavailable", "full")
                           : answer("200 OK", Arrived.Head.Target);
    Server.send(Arrived.Connection, Last);
  };
  Membership::Announcement Announced = announcementOf(Listen);
  const auto Announce = [&] {
    ++Announced.Sequence;
    Fixture.announce(Announced);
  };
  Announce();
  BOOST_REQUIRE(
      Fixture.waitUntil([&] { return Fixture.servingBackendCount(1) == 1; }));
  for (int I = 1; I <= Calls; ++I) {
    Announce();
    const std::string Target = "/stock?n=" + std::to_string(I);
    const CallResponse Response = Fixture.call(
        Fixture.entryHttp(1), Network::HttpMethod::Get,
        "/services/orders" + Target, "",
        {{"Authorization", std::string("Bearer ") + Cluster::CallerKey}});
    BOOST_TEST(Response.Status == (I == 1 ? 503 : 200), "request " << I);
    if (I > 1)
      BOOST_TEST(Response.Body == Target);
  }
  BOOST_TEST(Arrivals == Calls);
}

// Guards against MIXED: what a plain service sent in place of an answer was
// passed on, and kept in the journal for all who ask with the same key.
BOOST_AUTO_TEST_CASE(WhatIsNoAnswerIsNeitherPassedOnNorKept) {
  Cluster Fixture;
  Fixture.startAll();
  const Network::Address Listen{
      "127.0.0.1", static_cast<std::uint16_t>(Fixture.servicePort(1))};
  RoutedRawServer Server(Fixture.loop(), Listen);
  std::string Broken;
  int Arrivals = 0;
  Server.OnRequest = [&](const RoutedRawServer::Arrival &Arrived) {
    ++Arrivals;
    Server.send(Arrived.Connection, Broken);
  };
  Membership::Announcement Announced = announcementOf(Listen);
  const std::vector<std::string> BrokenAnswers = {
      answer("600 OK", "broken"), answer("20 OK", "broken"),
      "HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 6\r\n\r\nbroken"};
  for (std::size_t I = 0; I < BrokenAnswers.size(); ++I) {
    Broken = BrokenAnswers[I];
    const auto Send = [&] {
      ++Announced.Sequence;
      Fixture.announce(Announced);
      return Fixture.call(
          Fixture.entryHttp(1), Network::HttpMethod::Post,
          "/services/orders/reserve", "{}",
          {{"Authorization", std::string("Bearer ") + Cluster::CallerKey},
           {"Idempotency-Key", "broken-" + std::to_string(I)}});
    };
    Arrivals = 0;
    CallResponse Response;
    BOOST_REQUIRE(Fixture.waitUntil([&] {
      Response = Send();
      return Arrivals != 0;
    }));
    // The second time, the answer comes from the journal.
    for (int Time = 0; Time < 2; ++Time) {
      BOOST_TEST(Response.Status == 502, "answer " << I);
      BOOST_TEST(Response.Body.find("answer_lost") != std::string::npos);
      Response = Send();
    }
    BOOST_TEST(Arrivals == 1);
  }
}

// Guards against a sound request being quarantined because what its servers
// sent in place of an answer was taken for their crash.
BOOST_AUTO_TEST_CASE(AnAnswerThatIsNoneIsNoCrash) {
  Cluster Fixture;
  Fixture.startAll();
  constexpr int Servers = 3;
  std::vector<std::unique_ptr<RoutedRawServer>> Sockets;
  std::vector<Membership::Announcement> Announced;
  std::set<int> Broken;
  bool Proper = false;
  for (int I = 1; I <= Servers; ++I) {
    const Network::Address Listen{
        "127.0.0.1", static_cast<std::uint16_t>(Fixture.servicePort(I))};
    Sockets.push_back(
        std::make_unique<RoutedRawServer>(Fixture.loop(), Listen));
    Sockets.back()->OnRequest = [&, I, Server = Sockets.back().get()](
                                    const RoutedRawServer::Arrival &Arrived) {
      if (!Proper)
        Broken.insert(I);
      Server->send(Arrived.Connection,
                   Proper ? answer("200 OK", "proper")
                          : "HTTP/1.1 200 OK\r\nContent-Length: +6\r\n\r\n");
    };
    Announced.push_back(announcementOf(Listen));
    Announced.back().BackendServer =
        Common::BackendServerId("orders" + std::to_string(I));
  }
  const auto Send = [&] {
    for (Membership::Announcement &Each : Announced) {
      ++Each.Sequence;
      Fixture.announce(Each);
    }
    return Fixture.call(
        Fixture.entryHttp(1), Network::HttpMethod::Get,
        "/services/orders/stock", "",
        {{"Authorization", std::string("Bearer ") + Cluster::CallerKey}});
  };
  BOOST_REQUIRE(Fixture.waitUntil([&] {
    const CallResponse Response = Send();
    BOOST_TEST(Response.Body.find("quarantined") == std::string::npos);
    return Broken.size() == Servers;
  }));
  Proper = true;
  for (int I = 0; I < Calls; ++I)
    BOOST_TEST(Send().Body == "proper");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace FaultTests
