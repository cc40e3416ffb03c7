#include <gtest/gtest.h>

#include <atomic>
#include <unistd.h>

#include "cluster.h"

extern "C" {
#include "common/clock.h"
#include "coordination/link_alive.h"
#include "protocol/frame.h"
#include "transport/http_server.h"
#include "transport/peer.h"
}

namespace
{

constexpr int64_t kFound = LA_SILENT_US + 3 * LA_CHECK_US;

/* A daemon's net, in a thread of its own. */
class Net
{
      public:
	Net()
	{
		Currant__Hello hello = CURRANT__HELLO__INIT;
		char bound[64];
		int fd = hs_listen("127.0.0.1:0", bound, sizeof(bound));

		address = bound;
		hello.version = FR_VERSION;
		hello.vm = hello.domain = hello.token = (char *)"net";
		net = peer_create(l, l, fd, &hello, &hooks, this);
		loop_start(l);
	}

	~Net()
	{
		loop_stop(l);
		loop_join(l);
		talloc_free(l);
	}

	void
	open(const std::string &to)
	{
		target = to;
		loop_post(
		    l,
		    [](void *arg) {
			    auto *n = (Net *)arg;

			    peer_connect(n->net, n->target.c_str());
		    },
		    this);
	}

	std::string address;
	std::atomic<int> established{0};
	std::atomic<int> closed{0};

      private:
	static bool
	accept_any(const Currant__Hello *, void *arg)
	{
		((Net *)arg)->established++;
		return true;
	}

	static void
	on_frame(struct peer_link *, const Currant__Frame *, void *)
	{
	}

	static void
	on_closed(struct peer_link *, void *arg)
	{
		((Net *)arg)->closed++;
	}

	struct peer_hooks hooks = {accept_any, on_frame, on_closed};
	struct loop *l = loop_create(nullptr);
	struct peer_net *net;
	std::string target;
};

bool
reaches(const std::atomic<int> &n, int wanted, int64_t us)
{
	int64_t end = clk_now_us() + us;

	while (n < wanted && clk_now_us() < end)
		usleep(10000);
	return n >= wanted;
}

/* A direction in which the link goes silent. */
struct Way {
	const char *name;
	int number;
};

class SilentLink : public testing::TestWithParam<Way>
{
      protected:
	SilentLink()
	{
		control = "http://" + relay.addresses[1];
		http("POST", control + "/_target?address=" + accepts.address);
	}

	void
	silence(int ways)
	{
		http(
		    "POST", control + "/_silence?ways=" + std::to_string(ways));
	}

	Process relay{"tests/standins/standin-relay", {}, "/dev/null"};
	std::string control;
	Net opens;
	Net accepts;
};

} // namespace

TEST_P(SilentLink, IsClosedOnBothSidesAndTheNextOneWorks)
{
	opens.open(relay.addresses[0]);
	ASSERT_TRUE(reaches(opens.established, 1, CLK_US_PER_S));
	ASSERT_TRUE(reaches(accepts.established, 1, CLK_US_PER_S));
	usleep(kFound);
	EXPECT_EQ(opens.closed + accepts.closed, 0);
	silence(GetParam().number);
	EXPECT_TRUE(reaches(opens.closed, 1, kFound));
	EXPECT_TRUE(reaches(accepts.closed, 1, kFound));
	silence(0);
	opens.open(relay.addresses[0]);
	EXPECT_TRUE(reaches(opens.established, 2, CLK_US_PER_S));
	EXPECT_TRUE(reaches(accepts.established, 2, CLK_US_PER_S));
	usleep(kFound);
	EXPECT_EQ(opens.closed, 1);
	EXPECT_EQ(accepts.closed, 1);
}

INSTANTIATE_TEST_SUITE_P(Ways, SilentLink,
    testing::Values(Way{"ToTheOneThatAccepted", 1},
	Way{"ToTheOneThatOpened", 2}, Way{"Both", 3}),
    [](const testing::TestParamInfo<Way> &info) { return info.param.name; });
