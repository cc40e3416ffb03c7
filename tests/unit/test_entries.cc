#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C" {
#include "common/clock.h"
#include "common/counters.h"
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

/* What another writer may leave in place of one field of a worker's entry. */
class WorkerEntry : public testing::Test
{
      protected:
	void
	TearDown() override
	{
		talloc_free(ctx);
	}

	bool
	read(const std::string &text, const std::string &id = "i-1")
	{
		error[0] = '\0';
		return pf_entry_ops.worker(ctx, id.c_str(),
		    (const uint8_t *)text.data(), text.size(), &info, &pool,
		    error, sizeof(error));
	}

	/* The entry, with the value of one field replaced or added. */
	static std::string
	with(const std::string &field, const std::string &json)
	{
		json_t *row = json_loads(kEntry, 0, nullptr);
		json_t *at = row;
		std::string name = field;
		size_t dot = field.find('.');
		std::string text;
		char *dump;

		if (dot != std::string::npos) {
			at = json_object_get(row, field.substr(0, dot).c_str());
			name = field.substr(dot + 1);
		}
		json_object_set_new(at, name.c_str(), json_string("@"));
		dump = json_dumps(row, JSON_COMPACT);
		text = dump;
		free(dump);
		json_decref(row);
		return text.replace(text.find("\"@\""), 3, json);
	}

	void
	expect_left_out(
	    const std::string &field, const std::vector<std::string> &values)
	{
		std::string name = field.substr(0, field.find('.'));

		for (const std::string &json : values) {
			EXPECT_FALSE(read(with(field, json)))
			    << field << " " << json.substr(0, 80);
			EXPECT_NE(error[0], '\0') << json.substr(0, 80);
		}
	}

	static constexpr const char *kEntry =
	    R"({"service":"s","address":"10.0.0.1:80","zone":"a","version":"v1",)"
	    R"("slots":8,"state":"ready","cold_left_ms":0,"capacity":{"cpu":16000,)"
	    R"("mem_mb":32768,"gpu":2},"labels":["kind-a","r1-3"],"clock_ms":5400,)"
	    R"("machine":"m-1","born":1700000000123,"seq":4})";

	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct wp_worker_info info = {};
	const char *pool = nullptr;
	char error[160] = "";
};

TEST_F(WorkerEntry, AddressThatNamesNoPortOfAHostNamesNoWorker)
{
	ASSERT_TRUE(read(kEntry)) << error;
	ASSERT_TRUE(read(with("address", "\"10.0.0.1:65535\""))) << error;
	expect_left_out("address",
	    {"\"\"", "\"10.0.0.1\"", "\"10.0.0.1:\"", "\"10.0.0.1:0\"",
		"\"10.0.0.1:65536\"", "\"10.0.0.1:99999999999999999999\"",
		"\"10.0.0.1:-1\"", "\"10.0.0.1:+1\"", "\"10.0.0.1: 80\"",
		"\"10.0.0.1:80 \"", "\" 10.0.0.1:80\"", "\":80\"",
		"\"10.0.0.1:80/a?b\"", "\"10.0.0.1:80#\"", "\"u@10.0.0.1:80\"",
		"\"10.0.0.1:80@10.0.0.2:80\"", "\"10.0.0.1:80\\r\\nX: y\"",
		"\"host.example:80\"", "\"[::1]:80\"", "\"10.0.0.256:80\"",
		"\"1:80\"", "\"10.0.0.1:" + std::string(60, '0') + "80\"",
		"\"" + std::string(1 << 20, '1') + ":80\""});
}

TEST_F(WorkerEntry, IdThatIsNoHeaderTextNamesNoWorker)
{
	for (const char *id : {"i-7f3a91c2", "a.b_c-d", "\xc3\xa9", "0"})
		EXPECT_TRUE(read(kEntry, id)) << id << ": " << error;
	for (const char *id :
	    {"a b", "a ", " a", "a\r\nX: y", "a\n", "a\t", "\x01", "a\x7f"}) {
		EXPECT_FALSE(read(kEntry, id)) << id;
		EXPECT_NE(error[0], '\0');
	}
}

TEST_F(WorkerEntry, AmountThatNoWorkerCanHaveNamesNoWorker)
{
	const std::vector<std::string> odd = {"-1", "-9223372036854775808",
	    "9223372036854775807", "1000000001", "99999999999999999999", "1e18",
	    "1e999", "5.0", "0.5", "-0.0", "null", "true", "\"1\"", "[1]",
	    "{}"};

	expect_left_out("capacity.cpu", odd);
	expect_left_out("capacity.mem_mb", odd);
	expect_left_out("capacity.gpu", odd);
	expect_left_out("capacity", odd);
	ASSERT_TRUE(read(with("capacity.cpu", "0"))) << error;
	ASSERT_TRUE(read(with("capacity.cpu", "1000000"))) << error;
	EXPECT_EQ(info.capacity.cpu_mcpu, 1000000);
}

TEST_F(WorkerEntry, TimeThatIsNoTimeNamesNoWorker)
{
	for (const char *field : {"clock_ms", "born", "remaining_ms"})
		expect_left_out(field,
		    {"-1", "9223372036854775807", "99999999999999999999",
			"1e18", "5.0", "true", "\"1\"", "[]"});
	ASSERT_TRUE(read(with("born", "4102444800000"))) << error;
}

TEST_F(WorkerEntry, TextThatIsMalformedOrOfAnotherTypeNamesNoWorker)
{
	const std::vector<std::string> odd = {"true", "7", "[]", "{}",
	    "\"a\\u0000b\"", "\"\xff\"", "\"\\ud800\"", std::string(3000, '[')};

	for (const char *field : {"service", "zone", "machine"})
		expect_left_out(field, odd);
	expect_left_out("state", {"null", "7", "\"asleep\"", "\"\"", "[]"});
	for (const char *field : {"service", "zone", "address", "capacity"})
		expect_left_out(field, {"null"});
	expect_left_out("labels", {"true", "7", "{}", "\"a\""});
	for (const std::string &text : odd) {
		expect_left_out("labels", {"[" + text + ",\"r\"]"});
		expect_left_out("labels", {"[\"a\"," + text + "]"});
	}
	/* Fields that an entry may lack. */
	for (const char *field :
	    {"machine", "labels", "born", "clock_ms", "remaining_ms"})
		EXPECT_TRUE(read(with(field, "null"))) << error;
	EXPECT_TRUE(read(with("labels", "[]"))) << error;
	EXPECT_TRUE(read(with("labels", "[\"a\"]"))) << error;
}

/* No page limits these texts; workers with longer ones than 63 got no work. */
TEST_F(WorkerEntry, TextsOfAnyLengthAreReadWhole)
{
	for (size_t length : {1, 63, 64, 127, 128, 200, 4000, 70000, 1 << 20}) {
		const std::string text(length, 'x');
		const std::string json = "\"" + text + "\"";

		ASSERT_TRUE(read(kEntry, text)) << error;
		EXPECT_EQ(info.id, text);
		ASSERT_TRUE(read(with("zone", json))) << error;
		EXPECT_EQ(info.domain, text);
		ASSERT_TRUE(read(with("machine", json))) << error;
		EXPECT_EQ(info.vm, text);
		ASSERT_TRUE(read(with("service", json))) << error;
		EXPECT_EQ(pool, text);
		ASSERT_TRUE(read(with("labels", "[\"k\"," + json + "]")));
		EXPECT_EQ(info.rack, text);
		ASSERT_TRUE(read(with("labels", "[" + json + ",\"r\"]")));
		EXPECT_EQ(info.kind, text);
	}
}

/* The same of VMs that a wave names. */
TEST_F(WorkerEntry, VmsOfAWaveHaveNamesOfAnyLength)
{
	for (size_t length : {1, 63, 64, 127, 128, 200, 4000, 70000}) {
		const std::string name(length, 'x');
		const std::string text =
		    R"({"wave":1,"maximum":1,"machines":[")" + name + "\"]}";
		struct mw_wave *m =
		    pf_entry_ops.wave(ctx, (const uint8_t *)text.data(),
			text.size(), error, sizeof(error));

		ASSERT_NE(m, nullptr) << error;
		ASSERT_EQ(m->vm_count, 1u);
		EXPECT_EQ(m->vm[0].name, name);
	}
}

TEST_F(WorkerEntry, TextThatIsNoObjectNamesNoWorker)
{
	const std::string whole = kEntry;
	const std::string odd[] = {"", " ", "{}", "[]", "null", "7", "\"x\"",
	    "\xff", std::string(1, '\0'), whole + whole, whole + "x",
	    std::string(1 << 20, '['), std::string(1 << 20, '{'),
	    std::string(1 << 20, ' '),
	    std::string(2000, '[') + std::string(2000, ']'),
	    whole.substr(0, whole.size() - 1) + ",\"a\":" +
		std::string(2100, '[') + std::string(2100, ']') + "}"};

	for (size_t n = 0; n < whole.size(); n++)
		EXPECT_FALSE(read(whole.substr(0, n))) << n;
	for (const std::string &text : odd) {
		EXPECT_FALSE(read(text)) << text.substr(0, 80);
		EXPECT_NE(error[0], '\0') << text.substr(0, 80);
	}
}

TEST_F(WorkerEntry, OtherFieldsMayHoldAnything)
{
	const std::string nested =
	    std::string(1000, '[') + std::string(1000, ']');

	for (const char *field :
	    {"version", "slots", "seq", "cold_left_ms", "more"}) {
		for (const std::string &json :
		    {std::string("-1"), std::string("\"x\""), nested}) {
			EXPECT_TRUE(read(with(field, json))) << error;
			EXPECT_STREQ(info.address, "10.0.0.1:80");
		}
	}
}

/* Its routes were left out, and each submission was answered 404. */
TEST_F(WorkerEntry, ServiceWithALongNameIsInTheConfiguration)
{
	for (size_t length : {1, 63, 64, 127, 128, 200, 4000, 70000}) {
		const std::string name(length, 's');
		const std::string text =
		    R"({"version":1,"routes":[)"
		    R"({"name":"a","host":"h","prefix":"/a/","service":")" +
		    name + R"("}],"services":[{"name":")" + name + R"("}]})";
		struct qs_config *c =
		    pf_entry_ops.config(ctx, (const uint8_t *)text.data(),
			text.size(), error, sizeof(error));

		ASSERT_NE(c, nullptr) << error;
		ASSERT_EQ(c->pool_count, 1u);
		EXPECT_EQ(c->pool[0].name, name);
		ASSERT_EQ(c->queue_count, 1u);
		EXPECT_EQ(c->queue[0].pool, name);
	}
}

/* The loop of a daemon that reads it stands still meanwhile. */
TEST_F(WorkerEntry, WaveAsLongAsAValueMayBeIsReadOrRefusedAtOnce)
{
	for (uint32_t max : {(uint32_t)MW_MAX_VMS, UINT32_MAX}) {
		std::string text = R"({"wave":1,"maximum":1,"machines":[)";
		uint32_t names = 0;

		while (text.size() < (1 << 20) - 16 && names < max)
			text += "\"" + std::to_string(names++) + "\",";
		text += R"("0","0"]})";
		int64_t began_us = clk_now_us();
		struct mw_wave *m =
		    pf_entry_ops.wave(ctx, (const uint8_t *)text.data(),
			text.size(), error, sizeof(error));
		/* Owners are replaced after 1.2 s without a sign of life. */
		EXPECT_LT(clk_now_us() - began_us, CLK_US_PER_S);
		ASSERT_EQ(m != nullptr, names == max) << error;
		if (m != nullptr)
			EXPECT_EQ(m->vm_count, names);
		else
			EXPECT_NE(std::string(error).find("machines"),
			    std::string::npos);
	}
}

} // namespace
