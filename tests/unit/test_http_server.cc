#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "transport/address.h"
#include "transport/http_server.h"
}

/* Connections of callers that fall silent without an end. */

namespace
{

constexpr unsigned int kIdleS = 1;
constexpr unsigned int kMaxConnections = 4;
/* Idle times are counted in whole seconds. */
constexpr int64_t kClosedUs = 2500 * CLK_US_PER_MS;
constexpr int64_t kSlowUs = 2500 * CLK_US_PER_MS;
constexpr size_t kLargeBytes = (size_t)32 << 20;

class HttpServerOfSilentCallers : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		struct hs_limits limits = {1 << 20, kMaxConnections, kIdleS};
		char bound[64];
		int fd = hs_listen("127.0.0.1:0", bound, sizeof(bound));

		ASSERT_NE(fd, -1);
		ASSERT_TRUE(ad_parse(bound, &address));
		hs = hs_create(l, l, fd, &limits, on_request, this);
		ASSERT_NE(hs, nullptr);
	}

	void
	TearDown() override
	{
		for (int fd : callers)
			close(fd);
		hs_stop(hs);
		talloc_free(l);
	}

	int
	connect_caller(const std::string &text)
	{
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		EXPECT_EQ(
		    connect(fd, (struct sockaddr *)&address, sizeof(address)),
		    0);
		callers.push_back(fd);
		EXPECT_EQ(send(fd, text.data(), text.size(), MSG_NOSIGNAL),
		    (ssize_t)text.size());
		return fd;
	}

	void
	run_for(int64_t us)
	{
		int64_t end_us = clk_now_us() + us;

		loop_after(
		    l, us, [](void *) {}, nullptr);
		while (clk_now_us() < end_us)
			tevent_loop_once(loop_ev(l));
	}

	struct hs_counts
	counts() const
	{
		struct hs_counts c = {};

		hs_add_counts(hs, &c);
		return c;
	}

	/* What has arrived at a caller. */
	static std::string
	received(int fd)
	{
		char buf[4096];
		ssize_t n = recv(fd, buf, sizeof(buf), MSG_DONTWAIT);

		return n > 0 ? std::string(buf, (size_t)n) : "";
	}

	static std::string
	get(const std::string &path)
	{
		return "GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n";
	}

	struct loop *l = loop_create(nullptr);
	struct http_server *hs = nullptr;
	struct sockaddr_in address = {};
	std::vector<int> callers;

      private:
	static void
	respond(struct hs_request *req, size_t bytes)
	{
		std::string body(bytes, 'x');

		hs_respond(req, 200, "text/plain", body.data(), body.size(),
		    nullptr, 0);
	}

	static void
	on_request(struct hs_request *req, void *arg)
	{
		std::string path = req->path;

		if (path == "/slow")
			loop_after(((HttpServerOfSilentCallers *)arg)->l,
			    kSlowUs,
			    [](void *r) { respond((struct hs_request *)r, 2); },
			    req);
		else
			respond(req, path == "/large" ? kLargeBytes : 2);
	}
};

TEST_F(HttpServerOfSilentCallers, ConnectionsAreClosedInEachPhase)
{
	int idle = connect_caller(get("/"));

	connect_caller("");
	connect_caller(
	    "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\n");
	connect_caller(get("/large"));
	run_for(100 * CLK_US_PER_MS);
	EXPECT_NE(received(idle).find("200"), std::string::npos);
	EXPECT_EQ(counts().connections, 4U);
	EXPECT_EQ(counts().fresh, 1U);
	EXPECT_EQ(counts().reading, 1U);
	EXPECT_EQ(counts().sending, 1U);
	run_for(kClosedUs);
	EXPECT_EQ(counts().connections, 0U);
	EXPECT_EQ(counts().reading, 0U);
	EXPECT_EQ(counts().sending, 0U);
}

TEST_F(HttpServerOfSilentCallers, OthersAreServedOnceTheirPlacesAreFree)
{
	int caller;

	for (unsigned int i = 0; i < kMaxConnections; i++)
		connect_caller(get("/"));
	run_for(kClosedUs);
	caller = connect_caller(get("/"));
	run_for(100 * CLK_US_PER_MS);
	EXPECT_NE(received(caller).find("200"), std::string::npos);
}

/* The caller of a request that is being handled says nothing either. */
TEST_F(
    HttpServerOfSilentCallers, RequestThatTakesLongerThanTheIdleTimeIsAnswered)
{
	int caller = connect_caller(get("/slow"));

	run_for(kSlowUs + 200 * CLK_US_PER_MS);
	EXPECT_NE(received(caller).find("200"), std::string::npos);
}

} // namespace
