#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "common/counters.h"
#include "common/log.h"
#include "platform/platform.h"
}

/* Calls of the platform's tables over connections that end without an answer. */

namespace
{

/*
 * Serves one request a letter: 'a' accepts, 'r' rejects, 'c' closes the
 * connection once the request is read.
 */
class ScriptedServer
{
      public:
	explicit ScriptedServer(const char *script) : script(script)
	{
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		listen(fd, 8);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
		thread = std::thread([this] { serve(); });
	}

	~ScriptedServer()
	{
		shutdown(fd, SHUT_RDWR);
		thread.join();
		close(fd);
	}

	std::string address;

      private:
	/* Bodies of these calls are JSON objects. */
	static bool
	read_request(int conn)
	{
		std::string text;
		char buf[4096];

		while (text.find("\r\n\r\n{") == std::string::npos ||
		    text.back() != '}') {
			ssize_t n = read(conn, buf, sizeof(buf));

			if (n <= 0)
				return false;
			text.append(buf, (size_t)n);
		}
		return true;
	}

	static void
	respond(int conn, const std::string &status)
	{
		const std::string text = "HTTP/1.1 " + status +
		    "\r\nContent-Length: 2\r\n\r\n{}";

		send(conn, text.data(), text.size(), MSG_NOSIGNAL);
	}

	/* Whether the connection is kept. */
	bool
	serve_request(int conn)
	{
		char step = *script;

		if (step == '\0' || !read_request(conn))
			return false;
		script++;
		if (step != 'c')
			respond(conn, step == 'a' ? "200 OK" : "503 Busy");
		return step != 'c';
	}

	void
	serve()
	{
		int conn;

		while ((conn = accept(fd, nullptr, nullptr)) != -1) {
			while (serve_request(conn))
				continue;
			close(conn);
		}
	}

	const char *script;
	int fd = -1;
	std::thread thread;
};

class Calls : public testing::Test
{
      protected:
	void
	connect(const std::string &address)
	{
		struct pf_settings settings = {};

		settings.store = address.c_str();
		settings.advice = address.c_str();
		settings.maintenance = address.c_str();
		fleet = pf_create(l, l, &settings);
	}

	~Calls() override
	{
		talloc_free(l);
	}

	uint32_t
	write()
	{
		struct ks_put put = {};
		struct ks_txn txn = {};

		put.key = "k";
		put.value = (const uint8_t *)"v";
		put.value_bytes = 1;
		txn.put = &put;
		txn.put_count = 1;
		done = false;
		fleet->keys->txn(fleet->handle, &txn, on_write, this);
		wait();
		return sends;
	}

	void
	start(const std::string &address)
	{
		struct wp_order o = {};

		o.kind = WP_ORDER_START;
		o.payload = "text";
		snprintf(o.worker, sizeof(o.worker), "i-1");
		snprintf(o.address, sizeof(o.address), "%s", address.c_str());
		snprintf(o.ref.job, sizeof(o.ref.job), "00000000000000a1");
		o.run = 7;
		done = false;
		fleet->workers->order(fleet->handle, &o, 3, on_order, this);
		wait();
	}

	struct loop *l = loop_create(nullptr);
	struct fl_fleet *fleet = nullptr;

      private:
	static void
	on_write(const struct ks_response *a, void *arg)
	{
		((Calls *)arg)->sends = a->sends;
		((Calls *)arg)->done = true;
	}

	static void
	on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
	{
		(void)result;
		(void)clock_ms;
		((Calls *)arg)->done = true;
	}

	void
	wait()
	{
		while (!done)
			tevent_loop_once(loop_ev(l));
	}

	bool done = false;
	uint32_t sends = 0;
};

TEST_F(Calls, WriteThatIsSentAgainUnderneathSaysSo)
{
	ScriptedServer store("acr");
	uint64_t before = ct_get(CT_STORE_SENT_AGAIN);

	connect(store.address);
	EXPECT_EQ(write(), 1U);
	EXPECT_EQ(ct_get(CT_STORE_SENT_AGAIN), before);
	EXPECT_EQ(write(), 2U);
	EXPECT_EQ(ct_get(CT_STORE_SENT_AGAIN), before + 1);
}

TEST_F(Calls, OrderThatIsSentAgainUnderneathIsLoggedWithItsRun)
{
	ScriptedServer worker("acr");
	uint64_t before = ct_get(CT_WORKER_SENT_AGAIN);

	connect(worker.address);
	testing::internal::CaptureStderr();
	ASSERT_EQ(lg_init("vm-1", "a", "info"), 0);
	start(worker.address);
	start(worker.address);
	EXPECT_EQ(ct_get(CT_WORKER_SENT_AGAIN), before + 1);

	std::string text = testing::internal::GetCapturedStderr();
	size_t at = text.find("event=sent_again");

	ASSERT_NE(at, std::string::npos) << text;
	EXPECT_NE(text.find("call=run-start job=00000000000000a1 step=0 "
			    "index=0 run=7 worker=i-1 sends=2 connects=1",
		      at),
	    std::string::npos)
	    << text;
	EXPECT_EQ(text.find("event=sent_again", at + 1), std::string::npos);
}

TEST_F(Calls, RejectedAndUnansweredWritesAreCounted)
{
	ScriptedServer store("rc");
	uint64_t rejected = ct_get(CT_STORE_REJECTED);
	uint64_t unanswered = ct_get(CT_STORE_UNANSWERED);

	connect(store.address);
	write();
	EXPECT_EQ(ct_get(CT_STORE_REJECTED), rejected + 1);
	write();
	EXPECT_EQ(ct_get(CT_STORE_UNANSWERED), unanswered + 1);
}

} // namespace
