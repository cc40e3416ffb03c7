#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "loopback.h"

extern "C" {
#include "common/clock.h"
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
		o.worker = "i-1";
		o.address = address.c_str();
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

		w.id = "i-1";
		w.address = address.c_str();
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

/* What arrived of calls that are made at once, and by when. */
struct Answers {
	size_t count = 0;
	size_t good = 0;
};

/* Idle connections to one service, as many as calls that were made at once. */
class CallsOnSilentConnections : public Calls
{
      public:
	static constexpr size_t IDLE = 4;

	static void
	on_key_space(const struct ks_response *a, void *arg)
	{
		((Answers *)arg)->count++;
		((Answers *)arg)->good += a->result == KS_OK;
	}

	static void
	on_advice(
	    bool answered, const struct wp_approval *, uint32_t, void *arg)
	{
		((Answers *)arg)->count++;
		((Answers *)arg)->good += answered;
	}

	static void
	on_order(enum wp_order_result result, int64_t, void *arg)
	{
		((Answers *)arg)->count++;
		((Answers *)arg)->good += result == WP_ACCEPTED;
	}

	static void
	on_renewal(enum wp_order_result result, const struct wp_renewal_reply *,
	    void *arg)
	{
		if (result == WP_OVERDUE) {
			((Answers *)arg)->count++;
			return;
		}
		((Answers *)arg)->good += result == WP_ACCEPTED;
	}

	void
	wait_for(const Answers &answers, size_t count)
	{
		while (answers.count < count)
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

	void
	renew_store_lease(Answers *answers)
	{
		fleet->keys->lease_renew(
		    fleet->handle, 7, on_key_space, answers);
	}

	void
	watch(Answers *answers)
	{
		fleet->keys->watch(
		    fleet->handle, "", 1, 300, on_key_space, answers);
	}

	void
	request_advice(Answers *answers)
	{
		struct wp_advice_request req = {};

		snprintf(req.job, sizeof(req.job), "00000000000000a1");
		fleet->advice->request(fleet->handle, &req,
		    clk_now_us() + 500 * CLK_US_PER_MS, on_advice, answers);
	}

	void
	start_run(Answers *answers)
	{
		struct wp_order o = {};

		o.kind = WP_ORDER_START;
		o.sends = 1;
		o.payload = "text";
		o.worker = "i-1";
		o.address = server.address.c_str();
		snprintf(o.ref.job, sizeof(o.ref.job), "00000000000000a1");
		o.run = 7;
		fleet->workers->order(fleet->handle, &o, 3, on_order, answers);
	}

	void
	renew_worker_lease(Answers *answers)
	{
		struct wp_worker w = {};
		struct wp_renewal renewal = {};

		w.id = "i-1";
		w.address = server.address.c_str();
		fleet->workers->renew(
		    fleet->handle, &w, &renewal, 3, on_renewal, answers);
	}

      protected:
	using Send = void (CallsOnSilentConnections::*)(Answers *);

	/* Has idle connections for a kind of call, all of them silent. */
	void
	silence_idle(Send send)
	{
		Answers answers;

		connect(server.address);
		server.holds = true;
		for (size_t i = 0; i < IDLE; i++)
			(this->*send)(&answers);
		while (server.requests < (int)IDLE)
			run_for(CLK_US_PER_MS);
		server.holds = false;
		wait_for(answers, IDLE);
		run_for(300 * CLK_US_PER_MS);
		server.silence();
	}

	/* The first call has no answer in time, those after it have one. */
	void
	expect_one_unanswered(Send first, Send next)
	{
		Answers lost;
		Answers good;

		(this->*first)(&lost);
		wait_for(lost, 1);
		EXPECT_EQ(lost.good, 0U);
		for (size_t i = 1; i < IDLE; i++) {
			(this->*next)(&good);
			wait_for(good, i);
		}
		EXPECT_EQ(good.good, IDLE - 1);
	}

	SilenceableServer server{"{\"good\":[],\"running\":[],"
				 "\"finished\":[],\"born\":1,\"clock_ms\":1}"};
};

/* One silent connection after the other took 0.9 s: together the lease's time. */
TEST_F(CallsOnSilentConnections, LeaseInTheStoreIsRenewedAfterOneTimeOut)
{
	silence_idle(&CallsOnSilentConnections::renew_store_lease);
	expect_one_unanswered(&CallsOnSilentConnections::renew_store_lease,
	    &CallsOnSilentConnections::renew_store_lease);
}

/* A lease of 1.2 s ends while its renewal waits 0.9 s for an answer. */
TEST_F(CallsOnSilentConnections, SecondRenewalIsAnsweredBeforeTheFirstTimesOut)
{
	Answers first;
	Answers second;

	silence_idle(&CallsOnSilentConnections::renew_store_lease);
	renew_store_lease(&first);
	run_for(350 * CLK_US_PER_MS);
	renew_store_lease(&second);
	wait_for(second, 1);
	EXPECT_EQ(second.good, 1U);
	EXPECT_EQ(first.count, 0U);
	wait_for(first, 1);
}

TEST_F(CallsOnSilentConnections, WatchThatHeardNothingIsFollowedByOneThatHears)
{
	silence_idle(&CallsOnSilentConnections::renew_store_lease);
	expect_one_unanswered(&CallsOnSilentConnections::watch,
	    &CallsOnSilentConnections::renew_store_lease);
}

/* The copy of the store stood still for the watch's whole time. */
TEST_F(CallsOnSilentConnections, WatchEndsOnceARenewalShowsSilence)
{
	Answers watched;
	Answers renewed;

	silence_idle(&CallsOnSilentConnections::renew_store_lease);
	fleet->keys->watch(fleet->handle, "", 1, 2000, on_key_space, &watched);
	run_for(10 * CLK_US_PER_MS);
	renew_store_lease(&renewed);
	wait_for(renewed, 1);
	run_for(20 * CLK_US_PER_MS);
	EXPECT_EQ(renewed.good, 0U);
	EXPECT_EQ(watched.count, 1U);
	watch(&watched);
	wait_for(watched, 2);
	EXPECT_EQ(watched.good, 1U);
}

TEST_F(CallsOnSilentConnections, StartAfterOneWithoutAnAnswerIsCarriedOut)
{
	silence_idle(&CallsOnSilentConnections::start_run);
	expect_one_unanswered(&CallsOnSilentConnections::start_run,
	    &CallsOnSilentConnections::start_run);
}

TEST_F(CallsOnSilentConnections, AdviceComesAfterOneRequestWithoutAnAnswer)
{
	silence_idle(&CallsOnSilentConnections::request_advice);
	expect_one_unanswered(&CallsOnSilentConnections::request_advice,
	    &CallsOnSilentConnections::request_advice);
}

/* The worker counted as away until the last connection had been tried. */
TEST_F(CallsOnSilentConnections, StartAfterAnOverdueRenewalIsCarriedOut)
{
	silence_idle(&CallsOnSilentConnections::start_run);
	expect_one_unanswered(&CallsOnSilentConnections::renew_worker_lease,
	    &CallsOnSilentConnections::start_run);
}

} // namespace
