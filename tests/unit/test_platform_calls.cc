#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "loopback.h"

extern "C" {
#include "common/counters.h"
#include "platform/platform.h"
}

/* Calls of the platform's tables over connections that end without an answer. */

namespace
{

/*
 * Serves one request a letter: 'a' accepts, 's' accepts after 0.6 s, 'r' rejects,
 * 'c' closes the connection once the request is read.
 */
class ScriptedServer
{
      public:
	explicit ScriptedServer(const char *script) : script(script)
	{
		fd = listen_on_loopback(&address);
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
		const std::string text =
		    "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n{}";

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
		if (step == 's')
			usleep(600000);
		if (step != 'c')
			respond(conn, step == 'r' ? "503 Busy" : "200 OK");
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

	enum ks_result
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
		return write_result;
	}

	enum wp_order_result
	start(const std::string &address)
	{
		return order(address, WP_ORDER_START, 1);
	}

	enum wp_order_result
	order(
	    const std::string &address, enum wp_order_kind kind, uint32_t sends)
	{
		struct wp_order o = {};

		o.kind = kind;
		o.sends = sends;
		o.payload = "text";
		snprintf(o.worker, sizeof(o.worker), "i-1");
		snprintf(o.address, sizeof(o.address), "%s", address.c_str());
		snprintf(o.ref.job, sizeof(o.ref.job), "00000000000000a1");
		o.run = 7;
		done = false;
		fleet->workers->order(fleet->handle, &o, 3, on_order, this);
		wait();
		return order_result;
	}

	enum wp_order_result
	renew(const std::string &address, uint64_t acked_end)
	{
		struct wp_worker w = {};
		struct wp_renewal renewal = {};

		snprintf(w.id, sizeof(w.id), "i-1");
		snprintf(w.address, sizeof(w.address), "%s", address.c_str());
		renewal.acked_end = acked_end;
		done = false;
		fleet->workers->renew(
		    fleet->handle, &w, &renewal, 3, on_renewal, this);
		wait();
		return order_result;
	}

	struct loop *l = loop_create(nullptr);
	struct fl_fleet *fleet = nullptr;

      private:
	static void
	on_write(const struct ks_response *a, void *arg)
	{
		((Calls *)arg)->write_result = a->result;
		((Calls *)arg)->done = true;
	}

	static void
	on_order(enum wp_order_result result, int64_t clock_ms, void *arg)
	{
		(void)clock_ms;
		((Calls *)arg)->order_result = result;
		((Calls *)arg)->done = true;
	}

	static void
	on_renewal(enum wp_order_result result,
	    const struct wp_renewal_reply *reply, void *arg)
	{
		(void)reply;
		((Calls *)arg)->order_result = result;
		((Calls *)arg)->done = true;
	}

	void
	wait()
	{
		while (!done)
			tevent_loop_once(loop_ev(l));
	}

	bool done = false;
	enum ks_result write_result = KS_UNKNOWN;
	enum wp_order_result order_result = WP_NO_ANSWER;
};

/* The second answer would hide what became of the first copy. */
TEST_F(Calls, WriteWithoutAnAnswerIsNotSentAgain)
{
	ScriptedServer store("acr");

	connect(store.address);
	EXPECT_EQ(write(), KS_OK);
	EXPECT_EQ(write(), KS_UNKNOWN);
	EXPECT_EQ(write(), KS_REFUSED);
}

TEST_F(Calls, StartWithoutAnAnswerIsNotSentAgain)
{
	ScriptedServer worker("acr");

	connect(worker.address);
	EXPECT_EQ(start(worker.address), WP_ACCEPTED);
	EXPECT_EQ(start(worker.address), WP_NO_ANSWER);
	EXPECT_EQ(start(worker.address), WP_REFUSED_UNHEALTHY);
}

/* A new life of the worker would forget run ends that were never read. */
TEST_F(Calls, AcknowledgementWithoutAnAnswerIsNotSentAgain)
{
	ScriptedServer worker("acr");

	connect(worker.address);
	EXPECT_EQ(start(worker.address), WP_ACCEPTED);
	EXPECT_EQ(renew(worker.address, 57), WP_NO_ANSWER);
	EXPECT_EQ(renew(worker.address, 57), WP_REFUSED_UNHEALTHY);
}

TEST_F(Calls, RenewalWithoutAnAcknowledgementIsSentAgain)
{
	ScriptedServer worker("acr");

	connect(worker.address);
	EXPECT_EQ(start(worker.address), WP_ACCEPTED);
	EXPECT_EQ(renew(worker.address, 0), WP_REFUSED_UNHEALTHY);
}

/* UNASKED: each stop was given up while its connection was being made. */
TEST_F(Calls, StopThatHadNoAnswerIsAwaitedForLonger)
{
	for (uint32_t sends : {1U, 2U, 3U}) {
		ScriptedServer server("s");

		connect(server.address);
		EXPECT_EQ(order(server.address, WP_ORDER_STOP, sends),
		    sends == 1 ? WP_NO_ANSWER : WP_ACCEPTED);
	}
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
