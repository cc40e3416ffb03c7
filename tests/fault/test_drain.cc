#include "cell_fixture.h"
#include "raw_caller.h"

/* Requests on open connections while their daemon ends. */

namespace
{

class Drain : public Cell
{
      protected:
	std::string
	last_line(size_t daemon, const std::string &event)
	{
		std::string text = daemons[daemon]->log_text();
		size_t at = text.rfind("event=" + event + " ");

		if (at == std::string::npos)
			return "";
		return text.substr(at, text.find('\n', at) - at);
	}
};

TEST_F(Drain, LastLineTellsWhatWasOpenAndHowRequestsEnded)
{
	start_daemons(1);
	RawCaller caller(daemons[0]->callers);
	ASSERT_EQ(caller.request("GET", "/q/"), End::ANSWERED);
	EXPECT_EQ(daemons[0]->end(SIGTERM), 0);
	std::string line = last_line(0, "stopped");
	EXPECT_NE(line.find(" connections=1 reading=0 unanswered=0 sending=0 "),
	    std::string::npos)
	    << line;
	EXPECT_NE(line.find(" cut=0 answered_at_end=0 "), std::string::npos)
	    << line;
}

} // namespace
