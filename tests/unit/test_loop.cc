#include <gtest/gtest.h>

#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#include "loopback.h"

extern "C" {
#include "common/clock.h"
#include "transport/http_client.h"
#include "transport/loop.h"
}

namespace
{

int64_t wall_offset_s;

} // namespace

/* The time of day, as the libraries that this process uses see it. */
extern "C" int
gettimeofday(struct timeval *__restrict tv, void *__restrict) noexcept
{
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	tv->tv_sec = ts.tv_sec + wall_offset_s;
	tv->tv_usec = ts.tv_nsec / 1000;
	return 0;
}

namespace
{

class LoopBesideAClockThatJumps : public testing::TestWithParam<int64_t>
{
      protected:
	void
	TearDown() override
	{
		wall_offset_s = 0;
		talloc_free(l);
	}

	static void
	stop(void *arg)
	{
		loop_stop((struct loop *)arg);
	}

	static void
	note(void *arg)
	{
		auto *t = (LoopBesideAClockThatJumps *)arg;

		t->ran_us = clk_now_us();
		loop_stop(t->l);
	}

	struct loop *l = loop_create(nullptr);
	int64_t ran_us = 0;
};

/* Commits, repeated writes and the store's time-outs wait for such delays. */
TEST_P(LoopBesideAClockThatJumps, DelayEndsInTime)
{
	int64_t begin_us = clk_now_us();

	loop_after(l, 300 * CLK_US_PER_MS, note, this);
	wall_offset_s = GetParam();
	loop_every(l, 2 * CLK_US_PER_S, stop, l);
	loop_run(l);
	ASSERT_NE(ran_us, 0) << "not within 2 s";
	EXPECT_GE(ran_us - begin_us, 299 * CLK_US_PER_MS);
	EXPECT_LT(ran_us - begin_us, 1000 * CLK_US_PER_MS);
}

/* The server takes the request, and is silent. */
TEST_P(LoopBesideAClockThatJumps, RequestEndsAtItsDeadline)
{
	std::string address;
	int fd = listen_on_loopback(&address);
	std::string url = "http://" + address + "/";
	struct http_client *hc = hc_create(l, l, 0);
	struct hc_request req = {};
	int64_t begin_us = clk_now_us();

	req.method = "GET";
	req.url = url.c_str();
	req.deadline_us = begin_us + 300 * CLK_US_PER_MS;
	hc_send(
	    hc, &req,
	    [](const struct hc_response *resp, void *arg) {
		    EXPECT_EQ(resp->error, HC_TIMEOUT);
		    note(arg);
	    },
	    this);
	wall_offset_s = GetParam();
	loop_every(l, 2 * CLK_US_PER_S, stop, l);
	loop_run(l);
	close(fd);
	ASSERT_NE(ran_us, 0) << "not within 2 s";
	EXPECT_GE(ran_us - begin_us, 299 * CLK_US_PER_MS);
	EXPECT_LT(ran_us - begin_us, 1000 * CLK_US_PER_MS);
}

INSTANTIATE_TEST_SUITE_P(Seconds, LoopBesideAClockThatJumps,
    testing::Values(0, -3600, 3600), [](const auto &info) {
	    return std::string(info.param == 0 ? "None"
		    : info.param < 0	       ? "Back"
					       : "Forward");
    });

} // namespace
