#pragma once

#include <future>

#include "RelayFixture.h"

namespace boragepitch::relay::test {

/** More than the socket buffers of a connection hold, so that a write stays in progress. */
inline constexpr size_t kBodyBytes = 8 << 20;
/** Small, for the same reason. */
inline constexpr int kReceiveBufferBytes = 16 << 10;
/** Asio writes at most 64 KiB at a time: after this much there is room for several writes. */
inline constexpr size_t kReadBeforeAnswerBytes = 1 << 20;
inline constexpr base::Milliseconds kStall = 200ms;

/** Reads the head of each request and part of its body, and then ends the exchange in a given way.
 * It reads no further. */
class EarlyEndpoint
{
public:
  /** Ends the exchange on the socket; it is closed afterwards if this returns false. */
  using End = std::function<bool(int aSocket, const std::string& aHead)>;

  explicit EarlyEndpoint(End aEnd)
    : mEnd(std::move(aEnd))
  {
    mListener = boragepitch::test::listenOn(mAddress);
    setsockopt(mListener, SOL_SOCKET, SO_RCVBUF, &kReceiveBufferBytes, sizeof(kReceiveBufferBytes));
    mThread = std::thread([this] { accept(); });
  }

  ~EarlyEndpoint()
  {
    mStop.set_value();
    ::shutdown(mListener, SHUT_RDWR);
    mThread.join();
    ::close(mListener);
    for (auto& [socket, thread] : mServing) {
      ::shutdown(socket, SHUT_RDWR);
      thread.join();
      ::close(socket);
    }
  }

  const net::Address& address() const { return mAddress; }
  /** Waits until the head of a request has arrived; false if none does. */
  bool waitForHead() { return mHasHead.get_future().wait_for(5s) == std::future_status::ready; }
  /** Whether the head of a request with a long body has arrived. */
  bool hasHead() const { return mHeads > 0; }

private:
  void accept()
  {
    for (int socket = 0; (socket = ::accept(mListener, nullptr, nullptr)) >= 0;) {
      mServing.emplace_back(socket, std::thread([this, socket] { serve(socket); }));
    }
  }

  void serve(int aSocket)
  {
    std::string head;
    for (char byte = 0; !head.ends_with("\r\n\r\n");) {
      if (::recv(aSocket, &byte, 1, 0) <= 0) {
        return;
      }
      head += byte;
    }
    if (head.find("Content-Length: " + std::to_string(kBodyBytes)) == std::string::npos) {
      sendAll(aSocket, answer(idOf(head), "short"));
      return;
    }
    if (mHeads++ == 0) {
      mHasHead.set_value();
    }
    // The relay fills the socket buffers and begins to stall.
    std::this_thread::sleep_for(kStall / 2);
    std::string block(64 << 10, '\0');
    for (size_t read = 0; read < kReadBeforeAnswerBytes;) {
      ssize_t count = ::recv(aSocket, block.data(), block.size(), MSG_DONTWAIT);
      if (count <= 0) {
        break;
      }
      read += static_cast<size_t>(count);
    }
    if (!mEnd(aSocket, head)) {
      ::shutdown(aSocket, SHUT_RDWR);
    } else {
      mStopped.wait();
    }
  }

  const End mEnd;
  const net::Address mAddress = boragepitch::test::unusedAddress();
  int mListener = -1;
  std::atomic<int> mHeads = 0;
  std::promise<void> mHasHead;
  std::promise<void> mStop;
  std::shared_future<void> mStopped = mStop.get_future().share();
  std::vector<std::pair<int, std::thread>> mServing;
  std::thread mThread;
};

/** Reads the body slowly, so that the write goes on in many steps, and answers nothing. */
inline bool drainSlowly(int aSocket, const std::string&)
{
  std::string block(16 << 10, '\0');
  while (::recv(aSocket, block.data(), block.size(), 0) > 0) {
    std::this_thread::sleep_for(4ms);
  }
  return false;
}

inline bool answerWhole(int aSocket, const std::string& aHead)
{
  sendAll(aSocket, answer(idOf(aHead), "early"));
  return true;
}

struct EarlyFixture : Fixture
{
  explicit EarlyFixture(base::Milliseconds aLeaveLimit = 5000ms)
    : Fixture(100, aLeaveLimit)
  {
    maxBodyBytes = kBodyBytes;
  }

  static std::string post(const std::string& aId)
  {
    return "POST /x/a HTTP/1.1\r\nHost: a.example\r\nId: " + aId +
           "\r\nContent-Length: " + std::to_string(kBodyBytes) + "\r\n\r\n" +
           std::string(kBodyBytes, 'b');
  }

  /** Stalls the event loop, so that it finds all events of this time in one turn. */
  void stall()
  {
    int socket = connectTo(callers);
    sendAll(socket,
            "GET /none HTTP/1.1\r\nHost: a.example\r\nStall-Ms: " + std::to_string(kStall.count()) +
              "\r\n\r\n");
    readMessage(socket);
    ::close(socket);
  }

  /** Sends a request with a long body, and stalls the loop while the endpoint ends the exchange.
   * Returns the caller's connection. */
  int begin(EarlyEndpoint& aEndpoint, serving::CallKind aKind, base::Milliseconds aTimeout = 3000ms)
  {
    declare(aKind, 2, aTimeout);
    list("e", aEndpoint.address());
    int socket = connectTo(callers);
    sendAll(socket, post("long"));
    BOOST_REQUIRE(aEndpoint.waitForHead());
    std::this_thread::sleep_for(20ms);
    return socket;
  }

  std::string answerOf(EarlyEndpoint& aEndpoint, serving::CallKind aKind)
  {
    int socket = begin(aEndpoint, aKind);
    stall();
    std::string text = readMessage(socket);
    ::close(socket);
    return text;
  }

  /** Whether the relay still answers. */
  bool isAlive() { return call(get("next")).starts_with("HTTP/1.1 "); }
};

} // namespace boragepitch::relay::test
