// Fuzzes the decoding of Thrift messages and records: malformed bytes must
// cause neither a crash nor excessive memory allocation.

#include <distribution_types.h>
#include <execution_types.h>
#include <gtest/gtest.h>
#include <membership_types.h>
#include <peer_types.h>
#include <release_types.h>

#include "src/adapters/codec.h"
#include "src/distribution/state_codec.h"
#include "tanagerledge/fold.h"
#include "tests/fuzz/memory.h"
#include "tests/fuzz/mutation.h"

namespace tanagerledge {
namespace {

wire::ReleaseRecord MakeRecord() {
  wire::ServiceChange service;
  service.kind = wire::ChangeKind::ADD;
  service.item.name = "curves";
  wire::ReleaseRecord record;
  wire::Publish publish;
  publish.publish_id = "id";
  publish.operator_name = "eira";
  publish.note.services = {service, service};
  record.__set_publish(publish);
  return record;
}

wire::CallRequest MakeCall() {
  wire::Header header;
  header.name = "accept";
  header.value = "text/plain";
  wire::CallRequest call;
  call.service_name = "curves";
  call.headers = {header, header};
  call.body = std::string(50, 'b');
  return call;
}

// Number of bytes allocated while decoding, including a small amount by the
// protocol object.
template <typename Message>
std::size_t AllocatedBytesToDecode(const std::string& bytes) {
  const std::size_t before = AllocatedBytes();
  const auto message = Decode<Message>(bytes);
  (void)message.has_value();
  return AllocatedBytes() - before;
}

class MessageFuzz : public testing::Test {
 protected:
  template <typename Message>
  static void FuzzMessage(const Message& valid) {
    Fuzz({Encode(valid), Encode(Message())}, [](const std::string& bytes) {
      EXPECT_LT(AllocatedBytesToDecode<Message>(bytes), kAllowedBytes);
    });
  }

  // For inputs of a few hundred bytes.
  static constexpr std::size_t kAllowedBytes = 1024 * 1024;
};

TEST_F(MessageFuzz, Hello_IsDecodedOrRejected) {
  FuzzMessage(wire::Hello());
}

TEST_F(MessageFuzz, Call_IsDecodedOrRejected) {
  FuzzMessage(MakeCall());
}

TEST_F(MessageFuzz, Reply_IsDecodedOrRejected) {
  wire::CallReply reply;
  reply.headers = MakeCall().headers;
  reply.__set_load(wire::LoadReport());
  FuzzMessage(reply);
}

TEST_F(MessageFuzz, Record_IsDecodedOrRejected) {
  FuzzMessage(MakeRecord());
}

TEST_F(MessageFuzz, Membership_IsDecodedOrRejected) {
  wire::MemberUpdate update;
  wire::MembershipDatagram datagram;
  datagram.__set_updates({update, update});
  datagram.__set_buckets({1, 2, 3});
  datagram.__set_digest(std::string(64, 'd'));
  FuzzMessage(datagram);
  wire::MembershipRequest request;
  wire::SyncRequest sync;
  sync.buckets = {1, 2};
  sync.updates = {update};
  request.__set_sync(sync);
  FuzzMessage(request);
  wire::MembershipReply reply;
  wire::SyncReply sync_reply;
  sync_reply.updates = {update, update};
  reply.__set_sync(sync_reply);
  reply.__set_reach(wire::ReachReply());
  FuzzMessage(reply);
}

TEST_F(MessageFuzz, Distribution_IsDecodedOrRejected) {
  wire::ReleaseMessage message;
  message.__set_push(wire::ReleasePush());
  message.__set_summary(wire::ReleaseSummary());
  message.__set_records(wire::RecordsReply());
  message.__set_state(wire::StateReply());
  message.__set_log_end(wire::LogEndReply());
  FuzzMessage(message);
}

TEST_F(MessageFuzz, Execution_IsDecodedOrRejected) {
  wire::OnceRecord record;
  wire::OnceEntry entry;
  entry.key = std::string(24, 'k');
  entry.__set_result(wire::OnceResult());
  record.entries = {entry, entry};
  record.__set_change(wire::OnceSeatChange());
  FuzzMessage(record);
  wire::OnceMessage message;
  message.__set_claim(wire::OnceClaim());
  message.__set_answer(wire::OnceAnswer());
  message.__set_finish(wire::OnceFinish());
  message.__set_finish_ack(wire::OnceFinishAck());
  message.__set_status_ask(wire::OnceStatusAsk());
  message.__set_status(wire::OnceStatus());
  message.__set_promise(wire::OncePromise());
  FuzzMessage(message);
  wire::SuspectRequest request;
  wire::SuspectTell tell;
  tell.news.resize(2);
  request.__set_tell(tell);
  FuzzMessage(request);
  FuzzMessage(wire::SuspectLeaseReply());
}

TEST_F(MessageFuzz, DeepNesting_IsRejectedWithoutStackOverflow) {
  constexpr char kStructOfStruct = 0x1c;  // Field id delta 1, type struct.
  const std::string nested(1'000'000, kStructOfStruct);
  EXPECT_FALSE(Decode<wire::CallRequest>(nested).has_value());
  EXPECT_FALSE(Decode<wire::ReleaseRecord>(nested).has_value());
}

TEST_F(MessageFuzz, HugeDeclaredList_IsRejectedBeforeAllocation) {
  // Field 6, a list that declares as many structs as the frame has bytes but
  // contains none.
  const std::string filler(1'000'000, '\xff');
  const std::string oversized = std::string("\x69\xfc\xbf\x84\x3d", 5) + filler;
  EXPECT_LT(AllocatedBytesToDecode<wire::CallRequest>(oversized),
            16u * 1024 * 1024);
  EXPECT_FALSE(Decode<wire::CallRequest>(oversized).has_value());
}

TEST_F(MessageFuzz, ListLongerThanFrame_IsRejected) {
  const std::string oversized("\x69\xfc\xff\xff\xff\xff\x07", 7);
  EXPECT_LT(AllocatedBytesToDecode<wire::CallRequest>(oversized),
            kAllowedBytes);
  EXPECT_FALSE(Decode<wire::CallRequest>(oversized).has_value());
}

// A mutated record is applied completely or not at all, and two folds always
// agree on which.
TEST_F(MessageFuzz, MutatedRecords_LeaveTwoFoldsEqual) {
  Fold left;
  Fold right;
  std::uint64_t offset = 0;
  Fuzz({Encode(MakeRecord())}, [&](const std::string& bytes) {
    EXPECT_EQ(left.Apply({offset}, bytes), right.Apply({offset}, bytes));
    ++offset;
    EXPECT_EQ(left.State()->digest, right.State()->digest);
    EXPECT_EQ(left.next_offset().value, offset);
  });
}

TEST_F(MessageFuzz, PackedState_IsUnpackedOrRejected) {
  const PackedState valid = PackState(Fold().ToCheckpoint());
  ASSERT_TRUE(UnpackState(valid.packed, valid.hash).has_value());
  Fuzz({valid.packed}, [&](const std::string& packed) {
    const auto checkpoint = UnpackState(packed, valid.hash);
    if (!checkpoint) {
      EXPECT_FALSE(checkpoint.error().text.empty());
    }
  });
}

TEST_F(MessageFuzz, MutatedCheckpoints_NeverLowerTheRelease) {
  Fold source;
  wire::ReleaseRecord record = MakeRecord();
  record.publish.note.services.resize(1);
  ASSERT_TRUE(source.Apply({0}, record).has_value());
  ASSERT_EQ(source.State()->release.value, 1u);
  const std::string valid = Encode(source.ToCheckpoint());
  Fold fold;
  ReleaseNumber last;
  Fuzz({valid}, [&](const std::string& bytes) {
    if (const auto checkpoint = Decode<wire::Checkpoint>(bytes)) {
      fold.Adopt(*checkpoint);
    }
    EXPECT_GE(fold.State()->release, last);
    last = fold.State()->release;
  });
}

}  // namespace
}  // namespace tanagerledge
