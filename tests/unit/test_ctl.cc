#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

#include "loopback.h"

extern "C" {
#include "currantctl/ctl.h"
}

namespace
{

/* Responds to one request with a JSON body. */
class OneResponse
{
      public:
	explicit OneResponse(const std::string &body)
	{
		fd = listen_on_loopback(&address);
		response = "HTTP/1.1 200 OK\r\nContent-Length: " +
		    std::to_string(body.size()) + "\r\n\r\n" + body;
		thread = std::thread([this] { serve(); });
	}

	~OneResponse()
	{
		thread.join();
		close(fd);
	}

	std::string address;

      private:
	void
	serve()
	{
		int conn = accept(fd, nullptr, nullptr);
		char buf[4096];

		if (recv(conn, buf, sizeof(buf), 0) > 0)
			send(conn, response.data(), response.size(), 0);
		close(conn);
	}

	int fd;
	std::string response;
	std::thread thread;
};

TEST(Ctl, ResponseWithoutTheFieldIsReportedAndPrintsNothing)
{
	OneResponse server("{\"preset\":7}");
	struct ctl ctl = {};

	ctl.operators_address = server.address.c_str();
	testing::internal::CaptureStdout();
	testing::internal::CaptureStderr();
	EXPECT_EQ(ctl_print_text(&ctl, "/v1/status", "preset"), CTL_UNKNOWN);
	EXPECT_EQ(testing::internal::GetCapturedStdout(), "");
	EXPECT_NE(testing::internal::GetCapturedStderr().find("\"preset\""),
	    std::string::npos);
}

TEST(Ctl, TextOfAFieldIsPrinted)
{
	OneResponse server("{\"preset\":\"peaks\"}");
	struct ctl ctl = {};

	ctl.operators_address = server.address.c_str();
	testing::internal::CaptureStdout();
	EXPECT_EQ(ctl_print_text(&ctl, "/v1/status", "preset"), CTL_OK);
	EXPECT_EQ(testing::internal::GetCapturedStdout(), "peaks\n");
}

} // namespace
