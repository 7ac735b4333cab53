#include "core/gateway/room_wait.h"

#include <gtest/gtest.h>

static constexpr int64_t kMs = 1000;

/*
 * All engines are full for a moment. The caller waits 0.4 s and gets room, or
 * is refused within half a second, while coming back still makes sense.
 */
TEST(RoomWait, AsksAgainForHalfASecond)
{
	EXPECT_EQ(ROOM_WAIT_ASK_AGAIN, room_wait_decide(0, 39000 * kMs));
	EXPECT_EQ(ROOM_WAIT_ASK_AGAIN, room_wait_decide(400 * kMs, 6000 * kMs));
	EXPECT_EQ(ROOM_WAIT_REFUSE, room_wait_decide(401 * kMs, 39000 * kMs));
}

/* A caller with little time left is told at once. */
TEST(RoomWait, RefusesAtOnceWithLittleTimeLeft)
{
	EXPECT_EQ(ROOM_WAIT_REFUSE, room_wait_decide(0, 300 * kMs));
	EXPECT_EQ(ROOM_WAIT_ASK_AGAIN, room_wait_decide(0, 400 * kMs));
	EXPECT_EQ(ROOM_WAIT_REFUSE, room_wait_decide(100 * kMs, 700 * kMs));
}
