#include <gtest/gtest.h>

#include <cstdio>
#include <fstream>
#include <string>
#include <unistd.h>

extern "C" {
#include "common/counters.h"
#include "curranttackd/settings.h"
}

namespace
{

const char *const kValidSettings = "[vm]\n"	      /* 1 */
				   "id = \"v\"\n"     /* 2 */
				   "domain = \"d\"\n" /* 3 */
				   "[listen]\n"	      /* 4 */
				   "callers = \"127.0.0.1:0\"\n"
				   "operators = \"127.0.0.1:0\"\n"
				   "peers = \"127.0.0.1:0\"\n" /* 7 */
				   "[platform]\n"
				   "store = \"127.0.0.1:1\"\n"
				   "vms = \"127.0.0.1:2\"\n" /* 10 */
				   "[access]\n"
				   "peer_token = \"long-enough\"\n"; /* 12 */

struct settings *
load(const std::string &text, std::string *why)
{
	char path[] = "/tmp/settings-XXXXXX";
	char error[SE_ERROR_BYTES] = "";
	int fd = mkstemp(path);
	struct settings *s;

	std::ofstream(path) << text;
	close(fd);
	s = se_load(nullptr, path, error);
	*why = std::string(error);
	size_t at = why->find(path);

	if (at != std::string::npos)
		why->replace(at, sizeof(path) - 1, "F");
	unlink(path);
	return s;
}

TEST(Settings, DefaultsAreFilledIn)
{
	std::string why;
	struct settings *s = load(kValidSettings, &why);

	ASSERT_NE(s, nullptr) << why;
	EXPECT_EQ(s->worker_renew_interval_us * 3, s->worker_lease_ttl_us);
	EXPECT_STREQ(s->log_level, "info");
	talloc_free(s);
}

TEST(Settings, DurationsMayHaveFractions)
{
	std::string why;
	struct settings *s =
	    load(std::string(kValidSettings) + "[workers]\nlease = \"4.5s\"\n",
		&why);

	ASSERT_NE(s, nullptr) << why;
	EXPECT_EQ(s->worker_lease_ttl_us, 4500000);
	talloc_free(s);
}

struct InvalidCase {
	const char *name;
	const char *more;
	const char *expect;
};

class BadSettings : public testing::TestWithParam<InvalidCase>
{
};

TEST_P(BadSettings, NameLineAndField)
{
	std::string why;
	struct settings *s =
	    load(std::string(kValidSettings) + GetParam().more, &why);

	EXPECT_EQ(s, nullptr);
	EXPECT_EQ(why.find(GetParam().expect), 0U) << why;
}

INSTANTIATE_TEST_SUITE_P(Table, BadSettings,
    testing::Values(InvalidCase{"Syntax", "[log\n", "F:13"},
	InvalidCase{
	    "UnknownKey", "[log]\ncolour = 1\n", "F:14: log.colour: is not"},
	InvalidCase{"UnknownTable", "[lgo]\n", "F:13: lgo: is not known"},
	InvalidCase{"Level", "[log]\nlevel = \"loud\"\n", "F:14: log.level"},
	InvalidCase{
	    "NoUnit", "[workers]\nlease = \"6\"\n", "F:14: workers.lease"},
	InvalidCase{"Number", "[workers]\nlease = 6\n", "F:14: workers.lease"},
	InvalidCase{
	    "Range", "[workers]\nlease = \"1ms\"\n", "F:14: workers.lease"},
	InvalidCase{"Renew", "[workers]\nlease = \"4s\"\nrenew = \"3s\"\n",
	    "F:15: workers.renew: must be at most half"},
	InvalidCase{
	    "Threads", "[limits]\nthreads = 0\n", "F:14: limits.threads"},
	InvalidCase{"Timeout",
	    "[members]\nheartbeat = \"1s\"\ntimeout = \"2s\"\n",
	    "F:15: members.timeout"}),
    [](const testing::TestParamInfo<InvalidCase> &i) { return i.param.name; });

TEST(Settings, ErrorNamesMissingValue)
{
	std::string why;

	EXPECT_EQ(load("[vm]\nid = \"v\"\n", &why), nullptr);
	EXPECT_NE(why.find("vm.domain: is missing"), std::string::npos) << why;
	EXPECT_EQ(load("", &why), nullptr);
	EXPECT_NE(why.find("vm: is missing"), std::string::npos) << why;
}

TEST(Histogram, QuantilesAreWithinABucketAndMergeExactly)
{
	static struct ct_histogram a;
	static struct ct_histogram b;
	static struct ct_histogram both;

	for (int64_t i = 1; i <= 100000; i++) {
		ct_hist_record(i % 2 ? &a : &b, i);
		ct_hist_record(&both, i);
	}
	EXPECT_NEAR((double)ct_hist_quantile(&both, 0.5), 50000, 50000 / 16.0);
	EXPECT_NEAR(
	    (double)ct_hist_quantile(&both, 0.999), 99900, 99900 / 16.0);
	ct_hist_merge(&a, &b);
	EXPECT_EQ(a.count, both.count);
	EXPECT_EQ(a.sum_us, both.sum_us);
	for (int i = 0; i < CT_BUCKETS; i++)
		ASSERT_EQ(a.bucket[i], both.bucket[i]);
}

} // namespace
