#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "platform/internal.h"
#include "transport/http_server.h"
}

namespace
{

/* Requests of the platform's clients, as a server on loopback reads them. */
class Requests : public testing::Test
{
      protected:
	void
	SetUp() override
	{
		struct hs_limits limits = {1 << 20, 100, 0};
		struct pf_settings settings = {address, "", ""};
		int fd = hs_listen("127.0.0.1:0", address, sizeof(address));

		l = loop_create(nullptr);
		ASSERT_NE(
		    hs_create(l, l, fd, &limits, on_request, this), nullptr);
		fleet = pf_create(l, l, &settings);
	}

	void
	TearDown() override
	{
		talloc_free(l);
	}

	static void
	on_request(struct hs_request *req, void *arg)
	{
		Requests *t = (Requests *)arg;
		const char *prefix = hs_query(req, "prefix");
		const char *after = hs_query(req, "after");

		t->path = req->path;
		t->prefix = prefix != nullptr ? prefix : "-";
		t->after = after != nullptr ? after : "-";
		hs_respond(req, 200, "application/json", "{}", 2, nullptr, 0);
	}

	static void
	on_store(const struct ks_response *a, void *arg)
	{
		Requests *t = (Requests *)arg;

		t->result = a->result;
		loop_stop(t->l);
	}

	char address[64];
	struct loop *l = nullptr;
	struct fl_fleet *fleet = nullptr;
	std::string path;
	std::string prefix;
	std::string after;
	enum ks_result result = KS_UNKNOWN;
};

TEST_F(Requests, NextPageBeginsAfterAnyKey)
{
	const std::string keys[] = {
	    "servers/i-1",
	    "servers/a b",
	    "servers/a#b",
	    "servers/a&prefix=ct/",
	    "servers/100%",
	    "servers/a%2fb",
	    "servers/a+b",
	    "servers/a?b=c",
	    "servers/a\r\nX: y",
	    "servers/\xc3\xa9\"\\",
	    "servers/" + std::string(192, ' '),
	};

	for (const std::string &key : keys) {
		TearDown();
		SetUp();
		fleet->keys->range(
		    fleet->handle, "servers/", key.c_str(), on_store, this);
		loop_run(l);
		EXPECT_EQ(result, KS_OK) << key;
		EXPECT_EQ(prefix, "servers/") << key;
		EXPECT_EQ(after, key);
	}
}

} // namespace
