#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <cstring>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <tuple>
#include <unistd.h>
#include <vector>

#include "loopback.h"

extern "C" {
#include "common/clock.h"
#include "common/counters.h"
#include "transport/address.h"
#include "transport/http_client.h"
#include "transport/http_connections.h"
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
		std::string address;

		fd = listen_on_loopback(&address);
		url = "http://" + address + "/";
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
	int fd = -1;
	std::thread thread;
};

/* What a server does with a request: whole, or begun with ResetEarly. */
enum class Reply {
	Ok,
	OkThenClose,
	OkThenReset,
	Refuse,
	Close,
	Reset,
	ResetEarly,
	Silence,
};

/* Handles each request as its script says, on one connection at a time. */
class ScriptedServer
{
      public:
	explicit ScriptedServer(const std::vector<Reply> &script)
	    : script(script)
	{
		std::string address;

		fd = listen_on_loopback(&address);
		url = "http://" + address + "/";
		thread = std::thread([this] { serve(); });
	}

	~ScriptedServer()
	{
		stopped = true;
		shutdown(fd, SHUT_RDWR);
		shutdown(conn, SHUT_RDWR);
		thread.join();
		close(fd);
	}

	std::string url;
	std::atomic<int> connections{0};
	std::atomic<int> requests{0};
	std::atomic<int> closed{0};

      private:
	Reply
	next_reply() const
	{
		size_t n = (size_t)requests;

		return n < script.size() ? script[n] : Reply::Ok;
	}

	bool
	read_request(int conn)
	{
		std::string text;
		char buf[4096];
		size_t body;

		for (;;) {
			ssize_t n = read(conn, buf, sizeof(buf));

			if (n <= 0)
				return false;
			text.append(buf, (size_t)n);
			body = text.find("\r\n\r\n");
			if (next_reply() == Reply::ResetEarly)
				return true;
			if (body == std::string::npos)
				continue;
			if (text.find("Content-Length: 4") ==
				std::string::npos ||
			    text.size() >= body + 8)
				return true;
		}
	}

	static void
	write_status(int conn, const char *status)
	{
		std::string text = std::string("HTTP/1.1 ") + status +
		    "\r\nContent-Length: 0\r\n\r\n";

		EXPECT_EQ(write(conn, text.data(), text.size()),
		    (ssize_t)text.size());
	}

	static bool
	is_ok(Reply reply)
	{
		return reply == Reply::Ok || reply == Reply::OkThenClose ||
		    reply == Reply::OkThenReset;
	}

	/* Whether the connection is kept. */
	bool
	reply(int conn)
	{
		Reply r = next_reply();
		struct linger reset_on_close = {1, 0};

		requests++;
		if (is_ok(r))
			write_status(conn, "200 OK");
		if (r == Reply::Refuse)
			write_status(conn, "503 Service Unavailable");
		if (r == Reply::OkThenReset)
			/* The response must not be reset along with it. */
			usleep(50000);
		if (r == Reply::OkThenReset || r == Reply::Reset ||
		    r == Reply::ResetEarly)
			setsockopt(conn, SOL_SOCKET, SO_LINGER, &reset_on_close,
			    sizeof(reset_on_close));
		return r == Reply::Ok || r == Reply::Refuse ||
		    r == Reply::Silence;
	}

	void
	serve()
	{
		while (
		    !stopped && (conn = accept(fd, nullptr, nullptr)) != -1) {
			connections++;
			while (!stopped && read_request(conn) && reply(conn))
				;
			close(conn);
			closed++;
		}
	}

	std::vector<Reply> script;
	int fd = -1;
	std::atomic<int> conn{-1};
	std::atomic<bool> stopped{false};
	std::thread thread;
};

struct Call {
	enum hc_error error;
	bool done;
	int overdue = 0;
	int status = 0;
	uint32_t sends = 0;
	uint32_t connects = 0;
};

void
on_done(const struct hc_response *resp, void *arg)
{
	Call *call = (Call *)arg;

	call->error = resp->error;
	call->status = resp->status;
	call->sends = resp->sends;
	call->connects = resp->connects;
	call->done = true;
}

Call
send(const std::string &url, struct http_client *hc, struct loop *l,
    const char *method, bool repeatable)
{
	struct hc_request req = {};
	Call call = {HC_OK, false};

	req.method = method;
	req.url = url.c_str();
	if (strcmp(method, "GET") != 0) {
		req.body = "body";
		req.body_bytes = 4;
	}
	req.deadline_us = clk_now_us() + 3 * CLK_US_PER_S;
	req.repeatable = repeatable;
	hc_send(hc, &req, on_done, &call);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	return call;
}

enum hc_error
post(const std::string &url, struct http_client *hc, struct loop *l)
{
	return send(url, hc, l, "POST", false).error;
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
	EXPECT_EQ(post(server.url, hc, l), HC_CUT_OFF);
	talloc_free(l);
}

class HttpClientOnALostResponse
    : public testing::TestWithParam<std::tuple<const char *, Reply>>
{
};

/* The 503 to a second copy was taken for the response to the first. */
TEST_P(HttpClientOnALostResponse, RequestIsSentOnceAndItsResponseIsMissing)
{
	ScriptedServer server(
	    {Reply::Ok, std::get<1>(GetParam()), Reply::Refuse});
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	const char *method = std::get<0>(GetParam());
	Call call;

	EXPECT_EQ(post(server.url, hc, l), HC_OK);
	call = send(server.url, hc, l, method, false);
	EXPECT_EQ(call.error, HC_CUT_OFF);
	EXPECT_EQ(call.status, 0);
	EXPECT_EQ(server.requests, 2);
	/* The client goes on with a connection that works. */
	call = send(server.url, hc, l, method, false);
	EXPECT_EQ(call.error, HC_OK);
	EXPECT_EQ(call.status, 503);
	EXPECT_EQ(server.requests, 3);
	talloc_free(l);
}

TEST_P(HttpClientOnALostResponse, RepeatableRequestIsAnswered)
{
	ScriptedServer server({Reply::Ok, std::get<1>(GetParam())});
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	Call call;

	EXPECT_EQ(post(server.url, hc, l), HC_OK);
	call = send(server.url, hc, l, std::get<0>(GetParam()), true);
	EXPECT_EQ(call.error, HC_OK);
	EXPECT_EQ(call.status, 200);
	EXPECT_EQ(server.requests, 3);
	talloc_free(l);
}

INSTANTIATE_TEST_SUITE_P(HttpClient, HttpClientOnALostResponse,
    testing::Combine(testing::Values("POST", "PUT", "DELETE", "GET"),
	testing::Values(Reply::Close, Reply::Reset)));

TEST(HttpClient, RequestThatWaitedForAConnectionWasNotSent)
{
	ScriptedServer server({Reply::Ok, Reply::Silence});
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 1);
	struct hc_request req = {};
	Call silent = {HC_OK, false};
	Call waiting = {HC_OK, false};

	EXPECT_EQ(post(server.url, hc, l), HC_OK);
	req.method = "POST";
	req.url = server.url.c_str();
	req.body = "body";
	req.body_bytes = 4;
	req.deadline_us = clk_now_us() + 200 * CLK_US_PER_MS;
	hc_send(hc, &req, on_done, &silent);
	req.deadline_us = clk_now_us() + 100 * CLK_US_PER_MS;
	hc_send(hc, &req, on_done, &waiting);
	while (!silent.done || !waiting.done)
		tevent_loop_once(loop_ev(l));
	EXPECT_EQ(silent.error, HC_TIMEOUT);
	EXPECT_EQ(waiting.error, HC_NOT_CONNECTED);
	EXPECT_EQ(server.requests, 2);
	talloc_free(l);
}

TEST(HttpClient, RequestOfWhichAPartWasSentIsNotSentAgain)
{
	ScriptedServer server({Reply::Ok, Reply::ResetEarly, Reply::Refuse});
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	std::string body(4 << 20, 'x');
	struct hc_request req = {};
	Call call = {HC_OK, false};

	EXPECT_EQ(post(server.url, hc, l), HC_OK);
	req.method = "POST";
	req.url = server.url.c_str();
	req.body = body.data();
	req.body_bytes = body.size();
	req.deadline_us = clk_now_us() + 3 * CLK_US_PER_S;
	hc_send(hc, &req, on_done, &call);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	EXPECT_EQ(call.error, HC_CUT_OFF);
	EXPECT_EQ(server.requests, 2);
	talloc_free(l);
}

class HttpClientOnAnIdleConnection : public testing::TestWithParam<Reply>
{
};

/* Nothing was sent on the old connection, so the request goes out on a new one. */
TEST_P(HttpClientOnAnIdleConnection, ClosedMeanwhileIsReplacedBeforeASend)
{
	ScriptedServer server({GetParam(), GetParam(), Reply::Refuse});
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	Call call;
	int i;

	for (i = 1; i <= 2; i++) {
		EXPECT_EQ(post(server.url, hc, l), HC_OK);
		while (server.closed < i)
			usleep(1000);
	}
	call = send(server.url, hc, l, "POST", false);
	EXPECT_EQ(call.error, HC_OK);
	EXPECT_EQ(call.status, 503);
	EXPECT_EQ(server.requests, 3);
	EXPECT_EQ(server.connections, 3);
	talloc_free(l);
}

INSTANTIATE_TEST_SUITE_P(HttpClient, HttpClientOnAnIdleConnection,
    testing::Values(Reply::OkThenClose, Reply::OkThenReset));

TEST(HttpClient, RequestForWhichNoConnectionIsLeftWasNotSent)
{
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	std::string url;

	{
		ScriptedServer server({Reply::OkThenClose});

		url = server.url;
		EXPECT_EQ(post(url, hc, l), HC_OK);
		while (server.closed < 1)
			usleep(1000);
	}
	EXPECT_EQ(post(url, hc, l), HC_NOT_CONNECTED);
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
	Call first = send(server.url, hc, l, "POST", true);
	Call second = send(server.url, hc, l, "POST", true);

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

/* Calls that keep a process busy: each response takes long and asks for another. */
struct BusyCall {
	struct http_client *hc;
	std::string url;
	bool ends;

	void
	send()
	{
		struct hc_request req = {};

		req.method = "GET";
		req.url = url.c_str();
		req.deadline_us = clk_now_us() + 3 * CLK_US_PER_S;
		hc_send(hc, &req, on_response, this);
	}

	static void
	on_response(const struct hc_response *, void *arg)
	{
		BusyCall *call = (BusyCall *)arg;

		usleep(20000);
		if (!call->ends)
			call->send();
	}
};

TEST(HttpClient, CallsWithoutAResponseEndInABusyProcess)
{
	ScriptedServer silent(std::vector<Reply>(5, Reply::Silence));
	ScriptedServer servers[6] = {ScriptedServer({}), ScriptedServer({}),
	    ScriptedServer({}), ScriptedServer({}), ScriptedServer({}),
	    ScriptedServer({})};
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	std::vector<BusyCall> busy;
	auto stall = [](void *) { usleep(30000); };

	for (const ScriptedServer &server : servers)
		busy.push_back({hc, server.url, false});
	for (BusyCall &b : busy)
		b.send();
	for (int i = 0; i < 5; i++) {
		struct hc_request req = {};
		Call call = {HC_OK, false};

		req.method = "GET";
		req.url = silent.url.c_str();
		req.deadline_us = clk_now_us() + 100 * CLK_US_PER_MS;
		hc_send(hc, &req, on_done, &call);
		loop_after(l, 95 * CLK_US_PER_MS, stall, nullptr);
		while (!call.done)
			tevent_loop_once(loop_ev(l));
		/* An order is repeated after 0.4 s. */
		EXPECT_LT(clk_now_us() - req.deadline_us, 400 * CLK_US_PER_MS);
	}
	for (BusyCall &b : busy)
		b.ends = true;
	for (int64_t end = clk_now_us() + 200 * CLK_US_PER_MS;
	     clk_now_us() < end;)
		tevent_loop_once(loop_ev(l));
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

/* Sends a body in parts, with pauses between them; then all is silent. */
class SlowServer
{
      public:
	SlowServer(size_t parts, size_t announced) : announced(announced)
	{
		std::string address;

		fd = listen_on_loopback(&address);
		url = "http://" + address + "/";
		thread = std::thread([this, parts] { serve(parts); });
	}

	~SlowServer()
	{
		ended = true;
		thread.join();
	}

	std::string url;

      private:
	void
	serve(size_t parts)
	{
		std::string head = "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(announced) + "\r\n\r\n";
		int conn = accept(fd, nullptr, nullptr);

		send(conn, head.data(), head.size(), MSG_NOSIGNAL);
		for (size_t n = 0; n < parts; n++) {
			usleep(50000);
			send(conn, "x", 1, MSG_NOSIGNAL);
		}
		while (!ended)
			usleep(10000);
		close(conn);
		close(fd);
	}

	size_t announced;
	std::atomic<bool> ended{false};
	int fd;
	std::thread thread;
};

/* How a request ends whose deadline passes while its body arrives. */
enum hc_error
read_slowly(const std::string &url, int64_t arriving_us, int64_t *took_us)
{
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
	struct hc_request req = {};
	Call call = {HC_OK, false};
	int64_t now_us = clk_now_us();

	req.method = "GET";
	req.url = url.c_str();
	req.deadline_us = now_us + 200 * CLK_US_PER_MS;
	req.arriving_until_us = arriving_us > 0 ? now_us + arriving_us : 0;
	hc_send(hc, &req, on_done, &call);
	while (!call.done)
		tevent_loop_once(loop_ev(l));
	*took_us = clk_now_us() - now_us;
	talloc_free(l);
	return call.error;
}

/* A page that took longer than its deadline was asked for again, for ever. */
TEST(HttpClient, ResponseThatIsStillArrivingAtItsDeadlineIsDelivered)
{
	SlowServer server(10, 10);
	int64_t took_us;

	EXPECT_EQ(read_slowly(server.url, 20 * CLK_US_PER_S, &took_us), HC_OK);
}

TEST(HttpClient, ResponseThatArrivesForTooLongOrStopsArrivingTimesOut)
{
	SlowServer endless(40, 100);
	SlowServer stops(3, 100);
	SlowServer plain(10, 10);
	int64_t took_us;

	EXPECT_EQ(read_slowly(endless.url, 600 * CLK_US_PER_MS, &took_us),
	    HC_TIMEOUT);
	EXPECT_LT(took_us, 2 * CLK_US_PER_S);
	EXPECT_EQ(
	    read_slowly(stops.url, 20 * CLK_US_PER_S, &took_us), HC_TIMEOUT);
	EXPECT_LT(took_us, 5 * CLK_US_PER_S);
	EXPECT_EQ(read_slowly(plain.url, 0, &took_us), HC_TIMEOUT);
}

/* Calls of one client to servers whose connections go silent. */
class HttpClientOfSilentConnections : public testing::Test
{
      protected:
	~HttpClientOfSilentConnections() override
	{
		talloc_free(l);
	}

	void
	begin(const std::string &url, Call *call, int64_t wait_us)
	{
		struct hc_request req = {};

		*call = {HC_OK, false};
		req.method = "POST";
		req.url = url.c_str();
		req.body = "body";
		req.body_bytes = 4;
		req.deadline_us = clk_now_us() + wait_us;
		hc_send(hc, &req, on_done, call);
	}

	void
	wait(const Call &call)
	{
		while (!call.done)
			tevent_loop_once(loop_ev(l));
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

	enum hc_error
	call(const std::string &url)
	{
		Call c;

		begin(url, &c, wait_us);
		wait(c);
		return c.error;
	}

	/* So that as many connections are idle afterwards. */
	void
	call_at_once(const std::string &url, size_t count)
	{
		std::vector<Call> calls(count);

		for (Call &c : calls)
			begin(url, &c, CLK_US_PER_S);
		for (const Call &c : calls) {
			wait(c);
			EXPECT_EQ(c.error, HC_OK);
		}
	}

	const int64_t wait_us = 200 * CLK_US_PER_MS;
	struct loop *l = loop_create(nullptr);
	struct http_client *hc = hc_create(l, l, 0);
};

/* Nothing told whether calls time out on old connections, or the host is slow. */
TEST_F(HttpClientOfSilentConnections, UnansweredCallsAreCountedByConnection)
{
	SilenceableServer server;
	uint64_t reused = ct_get(CT_HTTP_UNANSWERED_REUSED);
	uint64_t made = ct_get(CT_HTTP_UNANSWERED_NEW);

	EXPECT_EQ(call(server.url), HC_OK);
	server.silence();
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_REUSED), reused + 1);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_NEW), made);
	server.holds = true;
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_REUSED), reused + 1);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_NEW), made + 1);
}

/* Each connection of the pool cost a time-out of its own: the lease, at the store. */
TEST_F(HttpClientOfSilentConnections, OneTimeOutEndsTheUseOfAllThatAreAsOld)
{
	SilenceableServer server;

	call_at_once(server.url, 4);
	run_for(300 * CLK_US_PER_MS);
	server.silence();
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(call(server.url), HC_OK) << i;
	EXPECT_EQ(server.connections, 5);
}

/* A renewal that was overdue was followed by another one on a silent connection. */
TEST_F(HttpClientOfSilentConnections, OverdueCallEndsTheUseOfThoseThatAreAsOld)
{
	SilenceableServer server;
	struct hc_request req = {};
	Call overdue = {HC_OK, false};

	call_at_once(server.url, 3);
	run_for(300 * CLK_US_PER_MS);
	server.silence();
	req.method = "POST";
	req.url = server.url.c_str();
	req.body = "body";
	req.body_bytes = 4;
	req.overdue_us = clk_now_us() + 100 * CLK_US_PER_MS;
	req.overdue = [](void *arg) { ((Call *)arg)->overdue++; };
	req.deadline_us = clk_now_us() + CLK_US_PER_S;
	hc_send(hc, &req, on_done, &overdue);
	while (overdue.overdue == 0)
		tevent_loop_once(loop_ev(l));
	EXPECT_EQ(call(server.url), HC_OK);
	wait(overdue);
	EXPECT_EQ(overdue.error, HC_TIMEOUT);
	/* Its end tells nothing new. */
	EXPECT_EQ(call(server.url), HC_OK);
	EXPECT_EQ(server.connections, 4);
}

TEST_F(HttpClientOfSilentConnections, CallThatIsUnderWayIsNotBrokenOff)
{
	SilenceableServer server;
	Call slow;

	call_at_once(server.url, 3);
	run_for(300 * CLK_US_PER_MS);
	server.holds = true;
	begin(server.url, &slow, 2 * CLK_US_PER_S);
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	server.holds = false;
	wait(slow);
	EXPECT_EQ(slow.error, HC_OK);
	EXPECT_EQ(slow.sends, 1U);
	EXPECT_EQ(slow.connects, 0U);
}

/* New connections to workers have a price. */
TEST_F(HttpClientOfSilentConnections, ConnectionsToOtherHostsAreKept)
{
	SilenceableServer server;
	SilenceableServer others[3];

	call_at_once(server.url, 2);
	for (SilenceableServer &other : others)
		call_at_once(other.url, 2);
	run_for(1300 * CLK_US_PER_MS);
	server.silence();
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	EXPECT_EQ(call(server.url), HC_OK);
	for (SilenceableServer &other : others) {
		call_at_once(other.url, 2);
		EXPECT_EQ(other.connections, 2);
	}
}

TEST_F(HttpClientOfSilentConnections, SilenceOfANewConnectionTellsOfNoOther)
{
	SilenceableServer server;
	Call slow;
	Call silent;

	call_at_once(server.url, 1);
	server.holds = true;
	begin(server.url, &slow, 2 * CLK_US_PER_S);
	begin(server.url, &silent, 500 * CLK_US_PER_MS);
	while (server.requests < 3)
		run_for(CLK_US_PER_MS);
	server.silence(1);
	server.holds = false;
	wait(slow);
	wait(silent);
	EXPECT_EQ(slow.error, HC_OK);
	EXPECT_EQ(silent.error, HC_TIMEOUT);
	EXPECT_EQ(call(server.url), HC_OK);
	EXPECT_EQ(server.connections, 2);
}

/* A host that answers on another connection is slow on one at most. */
TEST_F(HttpClientOfSilentConnections, ConnectionThatWasJustHeardIsKept)
{
	SilenceableServer server;
	Call silent;

	call_at_once(server.url, 1);
	server.silence();
	begin(server.url, &silent, 500 * CLK_US_PER_MS);
	while (!silent.done) {
		EXPECT_EQ(call(server.url), HC_OK);
		run_for(20 * CLK_US_PER_MS);
	}
	EXPECT_EQ(silent.error, HC_TIMEOUT);
	EXPECT_EQ(call(server.url), HC_OK);
	EXPECT_EQ(server.connections, 2);
}

/* It counted as reused, so that connections to the host were taken for silent. */
TEST_F(HttpClientOfSilentConnections, ConnectionThatIsNotMadeInTimeIsNew)
{
	uint64_t reused = ct_get(CT_HTTP_UNANSWERED_REUSED);
	uint64_t made = ct_get(CT_HTTP_UNANSWERED_NEW);
	std::string address;
	int fd = listen_on_loopback(&address);
	struct sockaddr_in sin = {};
	std::vector<int> waiting;

	/* One more than this fills the queue, and connects are left alone. */
	listen(fd, 0);
	ad_parse(address.c_str(), &sin);
	for (int i = 0; i < 2; i++) {
		waiting.push_back(
		    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
		connect(waiting.back(), (struct sockaddr *)&sin, sizeof(sin));
	}
	EXPECT_EQ(call("http://" + address + "/"), HC_NOT_CONNECTED);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_REUSED), reused);
	EXPECT_EQ(ct_get(CT_HTTP_UNANSWERED_NEW), made + 1);
	for (int conn : waiting)
		close(conn);
	close(fd);
}

class HttpClientThatWaitsForNews : public HttpClientOfSilentConnections
{
      protected:
	/* On a connection that was used before. */
	void
	begin_waiting()
	{
		struct hc_request req = {};
		std::string url = server.url + "news";
		int requests;

		call_at_once(server.url, 2);
		run_for(300 * CLK_US_PER_MS);
		requests = server.requests;
		req.method = "GET";
		req.url = url.c_str();
		req.deadline_us = clk_now_us() + 2 * CLK_US_PER_S;
		req.repeatable = true;
		req.waits = true;
		hc_send(hc, &req, on_done, &waiting);
		while (server.requests == requests)
			run_for(CLK_US_PER_MS);
	}

	SilenceableServer server;
	Call waiting = {HC_OK, false};
};

/* The copy of the store stood still for the watch's whole time, 2.8 s. */
TEST_F(HttpClientThatWaitsForNews, WaitEndsOnceAnotherCallShowsSilence)
{
	int64_t begun_us = clk_now_us();

	begin_waiting();
	server.silence();
	EXPECT_EQ(call(server.url), HC_TIMEOUT);
	wait(waiting);
	EXPECT_EQ(waiting.error, HC_TIMEOUT);
	EXPECT_LT(clk_now_us() - begun_us, 1500 * CLK_US_PER_MS);
	EXPECT_EQ(call(server.url), HC_OK);
}

TEST_F(HttpClientThatWaitsForNews, WaitGoesOnWhileTheHostIsSlowOnNewConnections)
{
	Call on_old;
	Call on_new;

	begin_waiting();
	server.holds = true;
	begin(server.url, &on_old, 2 * CLK_US_PER_S);
	begin(server.url, &on_new, wait_us);
	wait(on_new);
	EXPECT_EQ(on_new.error, HC_TIMEOUT);
	EXPECT_EQ(on_new.connects, 1U);
	run_for(50 * CLK_US_PER_MS);
	EXPECT_FALSE(waiting.done);
	server.holds = false;
	server.news = true;
	wait(on_old);
	wait(waiting);
	EXPECT_EQ(on_old.error, HC_OK);
	EXPECT_EQ(waiting.error, HC_OK);
}

/* The host is slow, or the link to it is full: the answer would be asked for anew. */
TEST_F(HttpClientThatWaitsForNews, WaitGoesOnWhileACallIsOnlyOverdue)
{
	struct hc_request req = {};
	Call overdue = {HC_OK, false};

	begin_waiting();
	server.holds = true;
	req.method = "GET";
	req.url = server.url.c_str();
	req.overdue_us = clk_now_us() + 100 * CLK_US_PER_MS;
	req.deadline_us = clk_now_us() + CLK_US_PER_S;
	hc_send(hc, &req, on_done, &overdue);
	run_for(200 * CLK_US_PER_MS);
	server.holds = false;
	wait(overdue);
	EXPECT_EQ(overdue.error, HC_OK);
	EXPECT_FALSE(waiting.done);
	server.news = true;
	wait(waiting);
	EXPECT_EQ(waiting.error, HC_OK);
}

/* A worker that answers late each time cost a connection for every other one. */
TEST_F(HttpClientOfSilentConnections, HostThatAnswersLateKeepsItsConnections)
{
	SilenceableServer server;
	struct hc_request req = {};

	hc_set_slow_time(hc, 5 * CLK_US_PER_S);
	call_at_once(server.url, 3);
	run_for(300 * CLK_US_PER_MS);
	for (int i = 0; i < 5; i++) {
		Call late = {HC_TIMEOUT, false};

		server.holds = true;
		req.method = "GET";
		req.url = server.url.c_str();
		req.overdue_us = clk_now_us() + 50 * CLK_US_PER_MS;
		req.deadline_us = clk_now_us() + 2 * CLK_US_PER_S;
		hc_send(hc, &req, on_done, &late);
		run_for(100 * CLK_US_PER_MS);
		server.holds = false;
		wait(late);
		EXPECT_EQ(late.error, HC_OK);
		/* The first late answer costs the two idle ones. */
		if (i == 0)
			call_at_once(server.url, 3);
		run_for(300 * CLK_US_PER_MS);
	}
	call_at_once(server.url, 3);
	EXPECT_EQ(server.connections, 5);
}

TEST(HttpConnections, CallTellsOfSilenceOnlyOnAReusedConnectionThatSaidNothing)
{
	static const struct {
		struct hn_call call;
		struct hn_history history;
		bool shows;
	} table[] = {
	    {{true, false, false, 100}, {0, 0}, true},
	    {{true, false, false, 100}, {100, 0}, true},
	    {{false, false, false, 100}, {0, 0}, false},
	    {{true, true, false, 100}, {0, 0}, false},
	    {{true, false, false, 99}, {100, 0}, false},
	    {{true, false, true, 100}, {0, 200}, true},
	    {{true, false, true, 100}, {0, 201}, false},
	    {{true, false, false, 100}, {0, 201}, true},
	};

	for (const auto &row : table)
		EXPECT_EQ(
		    hn_shows_silence(&row.call, &row.history, 200), row.shows)
		    << &row - table;
}

TEST(HttpConnections, ConnectionIsDroppedOnceItWasNotHeardForAWhile)
{
	static const struct {
		bool busy;
		int64_t unheard_us;
		enum hn_verdict verdict;
	} table[] = {
	    {false, 0, HN_KEEP},
	    {false, HN_PROOF_US - 1, HN_KEEP},
	    {false, HN_PROOF_US, HN_DROP},
	    {false, 60 * CLK_US_PER_S, HN_DROP},
	    {true, 60 * CLK_US_PER_S, HN_KEEP},
	};
	const int64_t now_us = 100 * CLK_US_PER_S;

	for (const auto &row : table)
		EXPECT_EQ(hn_judge(row.busy, now_us - row.unheard_us, now_us),
		    row.verdict)
		    << &row - table;
}

TEST(HttpConnections, WaitEndsOnlyIfItIsOlderThanTheLateCallAndHeardNothing)
{
	static const struct {
		struct hn_call late;
		bool heard;
		int64_t begun_us;
		int64_t unheard_us;
		enum hn_verdict verdict;
	} table[] = {
	    {{true, false, false, 100}, false, 99, CLK_US_PER_S, HN_DROP},
	    {{true, false, false, 100}, false, 100, CLK_US_PER_S, HN_KEEP},
	    {{true, false, false, 100}, true, 99, CLK_US_PER_S, HN_KEEP},
	    {{true, false, false, 100}, false, 99, HN_PROOF_US - 1, HN_KEEP},
	    {{false, false, false, 100}, false, 99, CLK_US_PER_S, HN_KEEP},
	    {{true, true, false, 100}, false, 99, CLK_US_PER_S, HN_KEEP},
	    {{true, false, true, 100}, false, 99, CLK_US_PER_S, HN_KEEP},
	};
	const int64_t now_us = 100 * CLK_US_PER_S;

	for (const auto &row : table) {
		struct hn_call call = {true, row.heard, true, row.begun_us};

		EXPECT_EQ(hn_judge_wait(&call, now_us - row.unheard_us,
			      &row.late, now_us),
		    row.verdict)
		    << &row - table;
	}
}

} // namespace
