#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "common/clock.h"
#include "transport/address.h"
#include "transport/http_client.h"
}

namespace
{

TEST(Address, MalformedPortIsRejected)
{
	static const char *const malformed[] = {"127.0.0.1:", "127.0.0.1:x",
	    "127.0.0.1:80x", "127.0.0.1:-1", "127.0.0.1: 80", "127.0.0.1:65536",
	    "127.0.0.1:99999999999999999999", "127.0.0.1", ":80"};
	struct sockaddr_in sin;

	for (const char *text : malformed)
		EXPECT_FALSE(ad_parse(text, &sin)) << text;
	ASSERT_TRUE(ad_parse("127.0.0.1:65535", &sin));
	EXPECT_EQ(ntohs(sin.sin_port), 65535);
}

/*
 * Responds to one request, reads a second one and resets the connection. May
 * return after that, and respond to a third one with 503.
 */
class ResettingServer
{
      public:
	explicit ResettingServer(
	    useconds_t response_delay_us = 0, bool returns = false)
	    : response_delay_us(response_delay_us), returns(returns)
	{
		socklen_t len = sizeof(sin);

		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		listen(fd, 8);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		url =
		    "http://127.0.0.1:" + std::to_string(ntohs(sin.sin_port)) +
		    "/";
		thread = std::thread([this] { serve(); });
	}

	~ResettingServer()
	{
		thread.join();
	}

	std::string url;

      private:
	static void
	read_request(int conn)
	{
		std::string text;
		char buf[4096];

		while (text.find("\r\n\r\nbody") == std::string::npos) {
			ssize_t n = read(conn, buf, sizeof(buf));

			if (n <= 0)
				return;
			text.append(buf, (size_t)n);
		}
	}

	void
	serve()
	{
		const std::string response =
		    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
		struct linger reset_on_close = {1, 0};
		int conn = accept(fd, nullptr, nullptr);

		read_request(conn);
		usleep(response_delay_us);
		ASSERT_GT(write(conn, response.data(), response.size()), 0);
		read_request(conn);
		if (!returns)
			close(fd);
		setsockopt(conn, SOL_SOCKET, SO_LINGER, &reset_on_close,
		    sizeof(reset_on_close));
		close(conn);
		if (returns)
			reject();
	}

	void
	reject()
	{
		const std::string response =
		    "HTTP/1.1 503 Unavailable\r\nContent-Length: 0\r\n\r\n";
		int conn = accept(fd, nullptr, nullptr);

		read_request(conn);
		send(conn, response.data(), response.size(), MSG_NOSIGNAL);
		close(conn);
		close(fd);
	}

	useconds_t response_delay_us;
	bool returns;
	struct sockaddr_in sin = {};
	int fd = -1;
	std::thread thread;
};

struct Call {
	enum hc_error error;
	bool done;
	int overdue = 0;
	uint32_t sends = 0;
	uint32_t connects = 0;
};

void
on_done(const struct hc_response *resp, void *arg)
{
	Call *call = (Call *)arg;

	call->error = resp->error;
	call->sends = resp->sends;
	call->connects = resp->connects;
	call->done = true;
}

Call
post_call(const std::string &url, struct http_client *hc, struct loop *l)
{
	struct hc_request req = {};
	Call call = {HC_OK, false};

	req.method = "POST";
	req.url = url.c_str();
	req.body = "body";
	req.body_bytes = 4;
	req.deadline_us = clk_now_us() + 3 * CLK_US_PER_S;
	hc_send(hc, &req, on_done, &call);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	return call;
}

enum hc_error
post(const std::string &url, struct http_client *hc, struct loop *l)
{
	return post_call(url, hc, l).error;
}

/*
 * curl retries a request when a reused connection is reset. When the connect of
 * the retry fails, the first attempt may still have reached the server.
 * Found by kps-dies scale-1 --seed 967394900639.
 */
TEST(HttpClient, RequestOnAResetConnectionCountsAsSent)
{
	ResettingServer server;
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);

	EXPECT_EQ(post(server.url, hc, l), HC_OK);
	EXPECT_NE(post(server.url, hc, l), HC_NOT_CONNECTED);
	talloc_free(l);
}

TEST(HttpClient, RefusedConnectionCountsAsNotSent)
{
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);

	EXPECT_EQ(post("http://127.0.0.1:1/", hc, l), HC_NOT_CONNECTED);
	talloc_free(l);
}

TEST(HttpClient, RequestSentAgainOnAnotherConnectionIsCounted)
{
	ResettingServer server(0, true);
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	Call first = post_call(server.url, hc, l);
	Call second = post_call(server.url, hc, l);

	EXPECT_EQ(first.sends, 1U);
	EXPECT_EQ(first.connects, 1U);
	EXPECT_EQ(second.sends, 2U);
	EXPECT_EQ(second.connects, 1U);
	talloc_free(l);
}

/*
 * A stalled loop must not report timeouts for responses that arrived in time
 * but were not read yet: a daemon would take its workers for dead.
 */
TEST(HttpClient, ResponseThatArrivesWhileTheLoopIsStalledIsDelivered)
{
	ResettingServer server(50000);
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	struct hc_request req = {};
	Call call = {HC_OK, false};
	auto stall = [](void *) { usleep(300000); };

	req.method = "POST";
	req.url = server.url.c_str();
	req.body = "body";
	req.body_bytes = 4;
	req.deadline_us = clk_now_us() + 100 * CLK_US_PER_MS;
	hc_send(hc, &req, on_done, &call);
	/* The request is sent by then, and the server has not responded yet. */
	loop_after(l, 20 * CLK_US_PER_MS, stall, nullptr);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	EXPECT_EQ(call.error, HC_OK);
	/* The server thread ends only after a second request. */
	post(server.url, hc, l);
	talloc_free(l);
}

/* What an overdue response tells must not be lost: it may list run ends. */
TEST(HttpClient, OverdueResponseIsReportedAndStillDelivered)
{
	ResettingServer server(200000);
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	struct hc_request req = {};
	Call call = {HC_TIMEOUT, false};
	auto overdue = [](void *arg) { ((Call *)arg)->overdue++; };

	req.method = "POST";
	req.url = server.url.c_str();
	req.body = "body";
	req.body_bytes = 4;
	req.overdue_us = clk_now_us() + 50 * CLK_US_PER_MS;
	req.overdue = overdue;
	req.deadline_us = clk_now_us() + 3 * CLK_US_PER_S;
	hc_send(hc, &req, on_done, &call);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	EXPECT_EQ(call.error, HC_OK);
	EXPECT_EQ(call.overdue, 1);
	/* The server thread ends only after a second request. */
	post(server.url, hc, l);
	talloc_free(l);
}

} // namespace
