#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "Core.h"

namespace boragepitch::relay {

class Call;

/** A request of a caller, read whole. */
struct CallerRequest
{
  std::string method;
  std::string target; ///< As it was sent: path and query.
  std::string host;
  HeaderLines headers; ///< Without those that concern the connection only.
  std::string body;
  base::TimePoint received;
};

/**
 * One connection of a caller: reads requests one after another, hands each to a Call, writes its
 * answer, and tells the call when the caller leaves.
 */
class CallerSession : public std::enable_shared_from_this<CallerSession>
{
public:
  CallerSession(Core& aCore, Tcp::socket aSocket);
  ~CallerSession();

  void start();
  /** Checks deadlines; called about 20 times a second. */
  void tick(base::TimePoint aNow);
  /** True while a request is read or answered. */
  bool isBusy() const { return mCall != nullptr || mPhase != Phase::Idle; }
  void closeIdle();
  bool hasCall() const { return mCall != nullptr; }

  /** Sends a whole answer. */
  void respond(int aStatus, const HeaderLines& aHeaders, std::string_view aBody);
  /** Sends the head of an answer whose body follows in pieces. */
  void beginStream(int aStatus, const HeaderLines& aHeaders);
  void writeStream(std::string_view aBytes);
  /** Ends the body; when it is not complete the connection is cut, so that the caller sees it. */
  void endStream(bool aComplete);
  /** Bytes that the caller has not taken yet. */
  size_t backlog() const { return mOut.size() + mWriting.size(); }

private:
  enum class Phase
  {
    Idle,    ///< Waits for the first byte of a request.
    Reading, ///< Reads a request.
    Serving,
    Closing, ///< Writes what is left, then closes.
    Closed,
  };
  using Parser = http::request_parser<http::string_body>;

  void await();
  void onReadable(ErrorCode aError);
  void readHead();
  void onHead(ErrorCode aError);
  void readBody();
  void onRequest(ErrorCode aError);
  /** 0 when the request is well formed, else the status to answer. */
  int checkHead() const;
  void reject(int aStatus);
  void watch();
  void answered();
  void flush();
  void onWritten(ErrorCode aError);
  void callerLeft();
  void close();
  std::string headText(int aStatus, const HeaderLines& aHeaders) const;

  Core& mCore;
  Tcp::socket mSocket;
  beast::flat_buffer mBuffer;
  std::optional<Parser> mParser;
  std::shared_ptr<Call> mCall;
  Phase mPhase = Phase::Idle;
  bool mWaiting = false; ///< A wait for readable bytes is outstanding.
  bool mKeepAlive = true;
  bool mStreaming = false;
  bool mChunked = false;
  bool mIsHead = false;
  bool mFinished = false; ///< The answer is whole; what is left is to write it.
  std::string mOut;
  std::string mWriting;
  base::TimePoint mSince; ///< Start of the phase.
};

} // namespace boragepitch::relay
