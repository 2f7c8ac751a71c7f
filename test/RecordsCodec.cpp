#include "Records.h"

#include <gtest/gtest.h>

using namespace firefly;

TEST(RecordsCodec, decodingAnEncodedEnvelopeRestoresEveryField)
{
    Envelope envelope;
    envelope.writer = WriterId("entry-1.7");
    envelope.sequence = 42;
    envelope.record = JobPlaced{JobId("j1"), 3, WorkerId("w1"), ShardId("kochi/r1"), 17};

    const Envelope copy = decode(encode(envelope));

    EXPECT_EQ(copy.writer, envelope.writer);
    EXPECT_EQ(copy.sequence, 42U);
    const auto &placed = std::get<JobPlaced>(copy.record);
    EXPECT_EQ(placed.job, JobId("j1"));
    EXPECT_EQ(placed.attempt, 3U);
    EXPECT_EQ(placed.term, 17U);
}

TEST(RecordsCodec, rejectsUnknownRecordTypesAndMalformedText)
{
    EXPECT_THROW(decode(R"({"writer":"a","sequence":1,"type":"Nope","record":{}})"), CodecError);
    EXPECT_THROW(decode("{"), CodecError);
    EXPECT_THROW(decode(R"({"writer":"a"})"), CodecError);
}
