#include "UnitTests/connection/EarlyReplyUpstream.h"
#include "cuminfield/connection/upstream/HttpUpstreamTransport.h"

#include <CppUTest/TestHarness.h>

#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace cuminfield;
using namespace cuminfield::connection;
using unit_tests::connection::EarlyEnding;
using unit_tests::connection::EarlyReply;
using unit_tests::connection::EarlyReplyUpstream;
using namespace std::chrono_literals;

namespace {

/// More than the largest socket buffers (tcp_wmem, 4 MB by default).
constexpr std::size_t kLongUpload = std::size_t{ 12 } * 1024 * 1024;

struct Listener : upstream::UpstreamCallListener
{
  void OnHead(int aStatus, const HttpHeaders&) override { status = aStatus; }
  void OnBody(std::string_view aBytes) override { body += aBytes; }
  void OnEnd() override
  {
    ++ends;
    loop->Stop();
  }
  void OnFailed(const upstream::UpstreamFailure& aFailure) override
  {
    ++failures;
    mayHaveRun = aFailure.mayHaveRun;
    loop->Stop();
  }

  core::EventLoop* loop = nullptr;
  int status = 0;
  int ends = 0;
  int failures = 0;
  bool mayHaveRun = false;
  std::string body;
};

std::string MakeHead(const std::string& aHeaders, const std::string& aVersion = "1.1")
{
  return "HTTP/" + aVersion + " 200 OK\r\nId: a\r\n" + aHeaders + "\r\n";
}

/// Heads of responses whose body ends with the connection.
const std::vector<std::string> kHeadsWithoutLength{
  MakeHead(""),
  MakeHead("Connection: close\r\n"),
  MakeHead("Connection: keep-alive\r\n"),
  MakeHead("Content-Type: text/event-stream\r\n"),
  MakeHead("", "1.0"),
};

const std::string kEvents = "id: 1\ndata: x\n\nid: 2\ndata: [DONE]\n\n";

std::string Describe(const EarlyReply& aReply, std::size_t aUploadBytes)
{
  return aReply.parts.front() + std::to_string(aUploadBytes) + " bytes, parts " +
         std::to_string(aReply.parts.size()) + ", ending " +
         std::to_string(static_cast<int>(aReply.ending)) + ", turns " +
         std::to_string(aReply.turnsBefore) + " and " + std::to_string(aReply.turnsBeforeEnding) +
         ", read " + std::to_string(aReply.readBytes);
}

} // namespace

TEST_GROUP(EarlyResponse)
{
  core::EventLoop loop;
  upstream::HttpUpstreamTransport transport{ { .settings = { .requestIdHeader = "Id" },
                                               .loop = loop } };

  // As in the programs, writing to a closed connection is an error instead of a signal.
  void setup() override
  {
    std::signal(SIGPIPE, SIG_IGN);
  }
  void teardown() override
  {
    std::signal(SIGPIPE, SIG_DFL);
  }

  Listener Call(const EarlyReplyUpstream& aUpstream, std::size_t aUploadBytes,
                core::Duration aLimit = 5s)
  {
    Listener listener;
    listener.loop = &loop;
    const auto call = transport.Start("127.0.0.1", aUpstream.Port(),
                                      { .id = core::RequestId("a"),
                                        .method = "POST",
                                        .target = "/",
                                        .headers = {},
                                        .body = std::string(aUploadBytes, 'x'),
                                        .freshConnection = false },
                                      listener);
    const auto limit = loop.ScheduleAfter(aLimit, [&] { loop.Stop(); });
    loop.Run();
    return listener;
  }

  void CheckIsNotComplete(const EarlyReply& aReply, std::size_t aUploadBytes)
  {
    const EarlyReplyUpstream upstream(loop, { aReply });
    const Listener listener = Call(upstream, aUploadBytes);
    const std::string text = Describe(aReply, aUploadBytes);
    CHECK_EQUAL_TEXT(0, listener.ends, text.c_str());
    CHECK_EQUAL_TEXT(1, listener.failures, text.c_str());
    CHECK_TEXT(listener.mayHaveRun || listener.status == 0, text.c_str());
  }
};

/// Guards against a part of a response that passes for complete because its connection ended, by a
/// reset or in order, while the upload was still being written.
TEST(EarlyResponse, EndDuringAnUploadIsNotTheEndOfTheResponse)
{
  for (const std::string& head : kHeadsWithoutLength) {
    for (const EarlyEnding ending :
         { EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::CloseThenReset }) {
      for (const int turnsBefore : { 0, 1, 2, 5 }) {
        for (const int turnsBeforeEnding : { 0, 1, 3 }) {
          CheckIsNotComplete({ .parts = { head + kEvents },
                               .ending = ending,
                               .turnsBefore = turnsBefore,
                               .turnsBeforeEnding = turnsBeforeEnding },
                             kLongUpload);
        }
      }
    }
  }
}

/// The same where the upstream reads most of the upload between the head and the end, so that the
/// rest is in the socket buffers.
TEST(EarlyResponse, EndAfterMostOfAnUploadIsNotTheEndOfTheResponse)
{
  for (const std::string& head : kHeadsWithoutLength) {
    for (const EarlyEnding ending :
         { EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::CloseThenReset }) {
      for (const std::size_t unread : { 64, 512, 2048, 8192 }) {
        CheckIsNotComplete({ .parts = { head, kEvents },
                             .ending = ending,
                             .turnsBeforeEnding = 2,
                             .readBytes = kLongUpload - unread * 1024 },
                           kLongUpload);
      }
    }
  }
}

/// Guards against the same for a body that the socket buffers hold: for the sender it is written,
/// though the upstream has received a part only.
TEST(EarlyResponse, EndBeforeAnUploadHasArrivedIsNotTheEndOfTheResponse)
{
  for (const std::string& head : kHeadsWithoutLength) {
    for (const EarlyEnding ending :
         { EarlyEnding::Reset, EarlyEnding::Close, EarlyEnding::CloseThenReset }) {
      for (const std::size_t kilobytes : { 64, 256, 1024 }) {
        for (const int turnsBefore : { 1, 3 }) {
          for (const int turnsBeforeEnding : { 0, 1, 3 }) {
            CheckIsNotComplete({ .parts = { head + kEvents },
                                 .ending = ending,
                                 .turnsBefore = turnsBefore,
                                 .turnsBeforeEnding = turnsBeforeEnding },
                               kilobytes * 1024);
          }
        }
      }
    }
  }
}

/// Guards against a reset right behind an orderly end that goes unnoticed, whatever has arrived.
TEST(EarlyResponse, ResetBehindTheEndIsNoticed)
{
  for (const std::size_t bytes : { 0, 100, 4096 }) {
    CheckIsNotComplete({ .parts = { kHeadsWithoutLength.front() + kEvents },
                         .ending = EarlyEnding::CloseThenReset,
                         .turnsBefore = 3 },
                       bytes);
  }
}

/// Guards against a sound response that is rejected since it began before the upload had arrived.
TEST(EarlyResponse, ResponseThatEndsAfterTheUploadIsComplete)
{
  for (const std::string& head : kHeadsWithoutLength) {
    for (const std::size_t bytes : { std::size_t{ 100 }, std::size_t{ 256 * 1024 }, kLongUpload }) {
      // The request's head is read, too, so that all has arrived.
      const EarlyReply reply{ .parts = { head, kEvents },
                              .ending = EarlyEnding::Close,
                              .turnsBefore = 3,
                              .readBytes = bytes + 64 };
      const EarlyReplyUpstream upstream(loop, { reply });
      const Listener listener = Call(upstream, bytes);
      CHECK_EQUAL_TEXT(1, listener.ends, Describe(reply, bytes).c_str());
      STRCMP_EQUAL(kEvents.c_str(), listener.body.c_str());
    }
  }
}

/// Guards against a complete response that is held back, or lost, since the upstream does not read
/// the upload, and against another request on that connection, behind the unread bytes.
TEST(EarlyResponse, CompleteResponseIsDeliveredAndItsConnectionNotUsedAgain)
{
  for (const std::string headers :
       { "Content-Length: 5\r\n", "content-length:\t5\r\nConnection: keep-alive\r\n" }) {
    const std::string response = MakeHead(headers) + "whole";
    for (const std::size_t bytes : { std::size_t{ 256 * 1024 }, kLongUpload }) {
      for (const int turnsBefore : { 0, 1, 5 }) {
        for (const std::size_t cut : { response.size(), std::size_t{ 20 }, response.size() - 2 }) {
          const EarlyReply reply{ .parts = { response.substr(0, cut), response.substr(cut) },
                                  .turnsBefore = turnsBefore };
          const EarlyReplyUpstream upstream(loop, { reply, reply });
          for (std::size_t n = 1; n <= 2; ++n) {
            const Listener listener = Call(upstream, bytes, 2s);
            CHECK_EQUAL_TEXT(1, listener.ends, Describe(reply, bytes).c_str());
            STRCMP_EQUAL("whole", listener.body.c_str());
            CHECK_EQUAL_TEXT(n, upstream.ConnectionCount(), Describe(reply, bytes).c_str());
          }
        }
      }
    }
  }
}

/// The same where the upstream reads the upload after its response: bytes of it may still come.
TEST(EarlyResponse, ConnectionOfAnEarlyResponseIsNotUsedAgain)
{
  const std::string response = MakeHead("Transfer-Encoding: chunked\r\n");
  const EarlyReply reply{ .parts = { response, "5\r\nwhole\r\n0\r\n\r\n" },
                          .turnsBefore = 3,
                          .readBytes = kLongUpload };
  const EarlyReplyUpstream upstream(loop, { reply, reply });
  for (std::size_t n = 1; n <= 2; ++n) {
    const Listener listener = Call(upstream, kLongUpload);
    CHECK_EQUAL(1, listener.ends);
    STRCMP_EQUAL("whole", listener.body.c_str());
    CHECK_EQUAL(n, upstream.ConnectionCount());
  }
}

/// Guards against an invalid response that is noticed only when the upstream reads the upload, or
/// falls silent for too long.
TEST(EarlyResponse, InvalidResponseDuringAnUploadFailsAtOnce)
{
  for (const char* status : { "000", "099", "103", "600", "0200" }) {
    const std::string head = "HTTP/1.1 " + std::string(status) + " Text\r\nId: a\r\n\r\n";
    for (const int turnsBefore : { 0, 3 }) {
      const EarlyReply reply{ .parts = { head }, .turnsBefore = turnsBefore };
      const EarlyReplyUpstream upstream(loop, { reply });
      const Listener listener = Call(upstream, kLongUpload, 2s);
      CHECK_EQUAL_TEXT(1, listener.failures, status);
      CHECK_TEXT(listener.mayHaveRun, status);
    }
  }
}
