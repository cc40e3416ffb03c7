#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

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
		struct sockaddr_in sin = {};
		socklen_t len = sizeof(sin);

		fd = socket(AF_INET, SOCK_STREAM, 0);
		sin.sin_family = AF_INET;
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		bind(fd, (struct sockaddr *)&sin, sizeof(sin));
		listen(fd, 1);
		getsockname(fd, (struct sockaddr *)&sin, &len);
		address = "127.0.0.1:" + std::to_string(ntohs(sin.sin_port));
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
