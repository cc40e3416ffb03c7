#include <gtest/gtest.h>

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "platform/internal.h"
}

namespace
{

/* Reads the body of a response of the store. */
class StoreBody : public testing::Test
{
      protected:
	~StoreBody() override
	{
		talloc_free(ctx);
	}

	bool
	read(const std::string &text)
	{
		/* A copy without a byte to spare shows reads beyond the end. */
		std::vector<char> body(text.begin(), text.end());

		a = {};
		return pf_read_store_body(ctx, body.data(), body.size(), &a);
	}

	static std::string
	changes(size_t count)
	{
		std::string text = "{\"as_of\":12,\"events\":[";

		for (size_t i = 0; i < count; i++)
			text += std::string(i > 0 ? "," : "") +
			    "{\"key\":\"a/" + std::to_string(i) +
			    "\",\"value\":\"QUJD\",\"revision\":7}";
		return text + "]}";
	}

	TALLOC_CTX *ctx = talloc_new(nullptr);
	struct ks_response a = {};
};

TEST_F(StoreBody, MalformedItemsAreLeftOut)
{
	ASSERT_TRUE(read(R"(
	{"as_of": 12, "has_more": true, "items" : [
	    {"key":"k\/\u00e9","value":"QUJD","revision":7,"created":5,
	     "lease":3,"more":{"a":[1,-2.5e3,null,"x\"]"]}},
	    {"key":"gone","revision":8,"deleted":true},
	    {"key":"absent","value":null,"revision":0},
	    {"key":"escaped","value":"\/\/\/\/","revision":4},
	    {"key":"no-value","revision":9},
	    {"key":"not-base64","value":"A","revision":9},
	    {"key":"no-revision","value":""},
	    {"key":"negative","value":"","revision":-1},
	    {"key":"fraction","value":"","revision":9.5},
	    {"key":"zero\u0000byte","value":"","revision":9},
	    {"key":"zero-value","value":"QUJD\u0000","revision":9},
	    {"key":5,"value":"","revision":9}, 17, null, [],
	    {"key":"empty","value":"","revision":9}]}
	)"));
	EXPECT_EQ(a.revision, 12u);
	EXPECT_TRUE(a.more);
	ASSERT_EQ(a.item_count, 5u);
	EXPECT_STREQ(a.item[0].key, "k/\xc3\xa9");
	EXPECT_EQ(
	    std::string((char *)a.item[0].value, a.item[0].value_bytes), "ABC");
	EXPECT_EQ(a.item[0].revision, 7u);
	EXPECT_EQ(a.item[0].created, 5u);
	EXPECT_EQ(a.item[0].lease, 3u);
	EXPECT_TRUE(a.item[1].deleted);
	EXPECT_TRUE(a.item[2].deleted);
	EXPECT_EQ(a.item[3].value_bytes, 3u);
	EXPECT_STREQ(a.item[4].key, "empty");
	EXPECT_NE(a.item[4].value, nullptr);
	ASSERT_TRUE(read(R"({"revision":5,"lease":44})"));
	EXPECT_EQ(a.revision, 5u);
	EXPECT_EQ(a.lease, 44u);
}

TEST_F(StoreBody, MalformedBodiesGiveNoItems)
{
	std::string whole = changes(2);

	for (size_t n = 0; n < whole.size(); n++) {
		EXPECT_FALSE(read(whole.substr(0, n))) << n;
		EXPECT_EQ(a.item_count, 0u);
	}
	for (const char *text : {"[]", "7", "{\"a\":1,}", "{\"a\" 1}", "{} x",
		 "{\"events\":[{},]}", "{\"a\":[1}}", "{\"a\":\"\xff\"}"})
		EXPECT_FALSE(read(text)) << text;
	EXPECT_FALSE(read(std::string(1000, '[')));
	EXPECT_FALSE(read("{\"a\":" + std::string(5000, '[')));
}

TEST_F(StoreBody, ItemBeyondTheParsersLimitsLeavesOutNoOther)
{
	const std::string odd[] = {
	    R"("revision":99999999999999999999)",
	    R"("revision":-99999999999999999999)",
	    R"("revision":1e999)",
	    R"("revision":7,"more":123456789012345678901234567890)",
	    R"("revision":7,"more":[-1e400,1.5E+999])",
	    R"("revision":7,"more":)" + std::string(1500, '[') +
		std::string(1500, ']'),
	    R"("revision":7,"more":)" + std::string(3000, '[') + R"("]\"")" +
		std::string(3000, ']'),
	    R"("revision":7,"more":"\ud800")",
	    R"("revision":7,"more":"\udc00\ud800x")",
	};
	const std::string good = R"({"key":"a","value":"QUJD","revision":7})";

	for (const std::string &text : odd) {
		std::string item =
		    R"({"key":"odd","value":"QUJD",)" + text + "}";

		for (const std::string &rows : {item + "," + good,
			 good + "," + item, good + "," + item + "," + good}) {
			ASSERT_TRUE(
			    read(R"({"as_of":12,"has_more":true,"events":[)" +
				rows + "]}"))
			    << text.substr(0, 80);
			EXPECT_EQ(a.revision, 12u);
			EXPECT_TRUE(a.more);
			size_t found = 0;
			for (size_t i = 0; i < a.item_count; i++)
				found += std::string(a.item[i].key) == "a";
			EXPECT_EQ(found,
			    rows.size() > 2 * good.size() + item.size() ? 2u
									: 1u);
		}
	}
}

/* Both libraries must agree on what an answer of the store says. */
TEST_F(StoreBody, EveryDamagedBodyIsRejectedOrReadAsItStands)
{
	std::string whole = changes(3) + "   ";
	std::mt19937 rng(7);
	size_t accepted = 0;

	for (int round = 0; round < 20000; round++) {
		std::string text = whole;

		for (int i = 0; i < 1 + round % 2; i++)
			text[rng() % text.size()] =
			    "{}[]\",:0 9\\ua"[rng() % 13];
		json_t *tree = json_loadb(text.data(), text.size(), 0, NULL);

		if (json_is_object(tree)) {
			accepted++;
			EXPECT_TRUE(read(text)) << text;
		} else {
			EXPECT_FALSE(read(text)) << text;
		}
		json_decref(tree);
	}
	EXPECT_GT(accepted, 1000u);
}

} // namespace
