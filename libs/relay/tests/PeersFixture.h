#pragma once

#include "RelayFixture.h"
#include "serving/PeerMessage.h"

namespace boragepitch::relay::test {

/** Requests with a part that crashes endpoints that may reach endpoints after the fifth crash. */
inline constexpr int kAllowedAfterFiveCrashes = 3;
inline constexpr int kEndpoints = 8;

inline std::string partsOf(const std::string& aRequest)
{
  size_t at = aRequest.find("Parts: ");
  return aRequest.substr(at, aRequest.find("\r\n", at) - at);
}

struct PeersFixture
{
  PeersFixture()
  {
    for (int i = 0; i < kEndpoints; ++i) {
      endpoints.push_back(std::make_unique<FakeEndpoint>(
        [this, i](const std::string& aRequest) { return answerOrCrash(aRequest, i); }));
    }
    addRelay();
    addRelay();
  }

  /** Crashes if the prompt contains the part 'd': the endpoint is back with another start time. */
  std::string answerOrCrash(const std::string& aRequest, int aEndpoint)
  {
    if (partsOf(aRequest).find('d') == std::string::npos) {
      return streamHead(idOf(aRequest)) + chunk(event(1)) + chunk(event(2)) + chunk(event(3)) +
             "0\r\n\r\n";
    }
    ++reached;
    if (isSlow) {
      // Waits at the endpoint until the test lets it begin.
      while (isSlow) {
        std::this_thread::sleep_for(5ms);
      }
    }
    ++starts[static_cast<size_t>(aEndpoint)];
    return "CLOSE";
  }

  void addRelay()
  {
    relays.push_back(std::make_unique<Fixture>());
    relays.back()->declare(serving::CallKind::Streaming);
    listAll();
    for (const auto& relay : relays) {
      std::vector<Peer> peers;
      for (size_t i = 0; i < relays.size(); ++i) {
        if (relays[i] != relay) {
          peers.push_back({ { "entry" + std::to_string(i), "r" }, relays[i]->peers });
        }
      }
      relay->relay->setPeers(peers);
    }
  }

  /** Tells all relays the present start times of the endpoints. */
  void listAll()
  {
    for (const auto& relay : relays) {
      for (size_t i = 0; i < endpoints.size(); ++i) {
        relay->list("e" + std::to_string(i), endpoints[i]->address(), starts[i]);
      }
    }
  }

  /** Sends a request like no other, except for the parts of its prompt. */
  std::string send(size_t aRelay, const std::string& aParts)
  {
    std::string number = std::to_string(++sent);
    return relays[aRelay]->call("GET /x/" + number + " HTTP/1.1\r\nHost: a.example\r\nId: n" +
                                number + "\r\nParts: " + aParts + "\r\n\r\n");
  }

  /** Sends a notice to a relay as another entry does. */
  void tell(size_t aRelay, const serving::PartNotice& aNotice)
  {
    std::string text = serving::encode(aNotice);
    int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<uint16_t>(relays[aRelay]->peers.port));
    inet_pton(AF_INET, relays[aRelay]->peers.host.c_str(), &address.sin_addr);
    BOOST_REQUIRE(::sendto(socket,
                           text.data(),
                           text.size(),
                           0,
                           reinterpret_cast<const sockaddr*>(&address),
                           sizeof(address)) > 0);
    ::close(socket);
  }

  /** Whether an endpoint received the request with this number. */
  bool haveReceived(int aNumber)
  {
    std::string id = "n" + std::to_string(aNumber);
    return std::any_of(endpoints.begin(), endpoints.end(), [&](const auto& aEndpoint) {
      auto requests = aEndpoint->requests();
      return std::any_of(requests.begin(), requests.end(), [&](const std::string& aRequest) {
        return idOf(aRequest) == id;
      });
    });
  }

  bool isStopped(size_t aRelay) { return send(aRelay, "sd").starts_with("HTTP/1.1 500"); }

  std::array<std::atomic<uint64_t>, kEndpoints> starts{ 1, 1, 1, 1, 1, 1, 1, 1 };
  std::atomic<int> reached{ 0 };
  std::atomic<bool> isSlow{ false };
  std::atomic<int> sent{ 0 };
  std::vector<std::unique_ptr<FakeEndpoint>> endpoints;
  std::vector<std::unique_ptr<Fixture>> relays;
};

} // namespace boragepitch::relay::test
