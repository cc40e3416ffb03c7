#include "cluster.h"

#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

#include <curl/curl.h>

namespace
{

std::string
build_dir()
{
	const char *dir = getenv("CURRANT_BUILD");

	return dir != nullptr ? dir : CURRANT_BUILD_DIR;
}

size_t
on_body(char *data, size_t size, size_t n, void *arg)
{
	static_cast<std::string *>(arg)->append(data, size * n);
	return size * n;
}

size_t
on_header(char *data, size_t size, size_t n, void *arg)
{
	std::string line(data, size * n);

	if (strncasecmp(line.c_str(), "X-Outcome: ", 11) == 0) {
		line.erase(0, 11);
		line.erase(line.find_last_not_of("\r\n") + 1);
		*static_cast<std::string *>(arg) = line;
	}
	return size * n;
}

void
sleep_ms(int64_t ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

} // namespace

Json
Response::json() const
{
	return Json(json_loadb(body.data(), body.size(), 0, nullptr));
}

std::string
Response::text(const char *field) const
{
	Json j = json();
	const char *s = json_string_value(json_object_get(j.get(), field));

	return s != nullptr ? s : "";
}

int64_t
Response::number(const char *field) const
{
	Json j = json();

	return json_integer_value(json_object_get(j.get(), field));
}

namespace
{

/* The library repeats a request by itself when a kept connection ends. */
int
on_transfer(void *arg, char *, char *, int, int)
{
	long sent_bytes = 0;

	curl_easy_getinfo(arg, CURLINFO_REQUEST_SIZE, &sent_bytes);
	return sent_bytes > 0 ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

Response
perform(CURL *easy, const std::string &method, const std::string &url,
    const std::string &body, const std::vector<std::string> &headers,
    long timeout_ms)
{
	struct curl_slist *list = curl_slist_append(nullptr, "Expect:");
	Response r;

	for (const std::string &h : headers)
		list = curl_slist_append(list, h.c_str());
	curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method.c_str());
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, list);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &r.body);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &r.outcome);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_transfer);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, easy);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeout_ms);
	if (method != "GET") {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body.data());
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE, (long)body.size());
	}
	if (curl_easy_perform(easy) == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &r.status);
	curl_slist_free_all(list);
	return r;
}

} // namespace

Response
http(const std::string &method, const std::string &url, const std::string &body,
    const std::vector<std::string> &headers, long timeout_ms)
{
	CURL *easy = curl_easy_init();
	Response r = perform(easy, method, url, body, headers, timeout_ms);

	curl_easy_cleanup(easy);
	return r;
}

KeptClient::KeptClient() : easy(curl_easy_init())
{
}

KeptClient::~KeptClient()
{
	curl_easy_cleanup(easy);
}

Response
KeptClient::request(const std::string &method, const std::string &url,
    const std::string &body, const std::vector<std::string> &headers,
    long timeout_ms)
{
	curl_easy_reset(easy);
	return perform(easy, method, url, body, headers, timeout_ms);
}

bool
eventually(const std::function<bool()> &condition, int64_t timeout_ms)
{
	auto end = std::chrono::steady_clock::now() +
	    std::chrono::milliseconds(timeout_ms);

	while (std::chrono::steady_clock::now() < end) {
		if (condition())
			return true;
		sleep_ms(20);
	}
	return condition();
}

Process::Process(const std::string &program,
    const std::vector<std::string> &args, const std::string &log)
{
	std::string path = build_dir() + "/" + program;
	std::vector<char *> argv = {const_cast<char *>(path.c_str())};
	int out[2];
	int err = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);

	for (const std::string &a : args)
		argv.push_back(const_cast<char *>(a.c_str()));
	argv.push_back(nullptr);
	if (pipe2(out, O_CLOEXEC) == -1)
		abort();
	pid = fork();
	if (pid == 0) {
		dup2(out[1], STDOUT_FILENO);
		dup2(err, STDERR_FILENO);
		execv(path.c_str(), argv.data());
		_exit(127);
	}
	close(out[1]);
	close(err);
	FILE *f = fdopen(out[0], "r");
	char line[65536] = "";

	if (fgets(line, sizeof(line), f) != nullptr) {
		std::istringstream words(line);
		std::string word;

		words >> word;
		while (words >> word)
			addresses.push_back(word);
	}
	fclose(f);
	if (addresses.empty()) {
		ADD_FAILURE() << program << " did not start, see " << log;
		abort();
	}
}

Process::~Process()
{
	if (pid <= 0)
		return;
	kill(pid, SIGKILL);
	waitpid(pid, nullptr, 0);
}

void
Process::signal(int number)
{
	kill(pid, number);
	if (number == SIGKILL) {
		waitpid(pid, nullptr, 0);
		pid = -1;
	}
}

int
Process::wait(int64_t timeout_ms)
{
	int status = 0;
	bool ended = eventually(
	    [&] { return waitpid(pid, &status, WNOHANG) == pid; }, timeout_ms);

	if (!ended)
		return -1;
	pid = -1;
	return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

Cluster::Cluster(const Layout &l) : layout(l)
{
	char pattern[] = "/tmp/curranttack-test-XXXXXX";
	std::vector<std::string> worker_specs;
	std::string log;
	int n = 0;

	dir = mkdtemp(pattern);
	log = dir + "/standins.log";
	store = std::make_unique<Process>(
	    "tests/standins/standin-store", std::vector<std::string>{}, log);
	vm_list = std::make_unique<Process>(
	    "tests/standins/standin-vmlist", std::vector<std::string>{}, log);
	for (const std::string &domain : layout.domains) {
		for (int i = 0; i < layout.workers_per_domain; i++) {
			worker_id.push_back("w" + std::to_string(++n));
			worker_domain.push_back(domain);
			worker_specs.push_back(worker_id.back() +
			    (i % 2 ? ":8:32:0" : ":16:64:4"));
		}
	}
	workers = std::make_unique<Process>(
	    "tests/standins/standin-worker", worker_specs, log);
	worker_address = workers->addresses;
	endpoints = std::make_unique<Process>("tests/standins/standin-endpoint",
	    std::vector<std::string>{
		std::to_string(
		    layout.endpoints_per_domain * (int)layout.domains.size()),
		std::to_string(layout.service_time_us)},
	    log);
	endpoint_address = endpoints->addresses;
	for (const std::string &domain : layout.domains) {
		for (int i = 0; i < layout.daemons_per_domain; i++) {
			Daemon d;

			d.vm = domain + "-entry-" + std::to_string(i + 1);
			d.domain = domain;
			daemons.push_back(std::move(d));
		}
	}
}

Cluster::~Cluster()
{
	daemons.clear();
	endpoints.reset();
	workers.reset();
	if (testing::Test::HasFailure())
		std::cerr << "logs are in " << dir << "\n";
	else if (system(("rm -rf " + dir).c_str()) != 0)
		std::cerr << "cannot remove " << dir << "\n";
}

void
Cluster::start_daemon(Daemon &d)
{
	d.settings_path = dir + "/" + d.vm + ".toml";
	std::ofstream(d.settings_path)
	    << "[vm]\nid = \"" << d.vm << "\"\ndomain = \"" << d.domain
	    << "\"\n[listen]\ncallers = \"127.0.0.1:0\"\n"
	       "operators = \"127.0.0.1:0\"\npeers = \"127.0.0.1:0\"\n"
	    << (d.advertise_peers.empty()
		       ? ""
		       : "advertise_peers = \"" + d.advertise_peers + "\"\n")
	    << "[platform]\nstore = \""
	    << (d.store_proxy.empty() ? store_address() : d.store_proxy)
	    << "\"\nvms = \""
	    << (d.vm_list_proxy.empty() ? vm_list_address() : d.vm_list_proxy)
	    << "\"\nstore_timeout = \"500ms\"\nstore_lease = \"1s\"\n"
	       "vms_poll = \"200ms\"\n"
	       "[access]\npeer_token = \"test-peer-token\"\n"
	    << d.extra_settings
	    << "[members]\nheartbeat = \"100ms\"\nsummary = \"200ms\"\n"
	       "timeout = \"800ms\"\n"
	       "[workers]\nlease = \"2s\"\nrenew = \"500ms\"\n"
	       "[shards]\ncommits_per_second = 50\ncommit_burst = 50\n"
	       "snapshot_every = 20\n[limits]\ndrain = \"20s\"\n"
	       "[log]\nlevel = \"info\"\n";
	d.process = std::make_unique<Process>("curranttackd/curranttackd",
	    std::vector<std::string>{"--config", d.settings_path},
	    dir + "/" + d.vm + ".log");
}

void
Cluster::publish_vms()
{
	publish_vms_to(vm_list_address(), {});
}

void
Cluster::publish_vms_to(const std::string &address,
    const std::map<std::string, std::string> &proxies)
{
	json_t *list = json_array();

	for (const Daemon &d : daemons) {
		if (!d.process)
			continue;
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s, s:s}", "vm", d.vm.c_str(),
			"domain", d.domain.c_str(), "address",
			proxies.count(d.vm) ? proxies.at(d.vm).c_str()
					    : d.peers().c_str(),
			"role", "daemon", "state",
			d.leaving ? "leaving" : "live"));
	}
	for (const auto &l : leaving_vms)
		json_array_append_new(list,
		    json_pack("{s:s, s:s, s:s, s:s}", "vm", l.first.c_str(),
			"domain", "d1", "role", l.second.c_str(), "state",
			"leaving"));
	Json o(json_pack("{s:o}", "vms", list));
	char *text = json_dumps(o.get(), 0);

	http("PUT", "http://" + address + "/_vms", text);
	free(text);
}

std::string
Cluster::shards_document() const
{
	std::ostringstream out;
	std::string sep;

	out << "{\"goal\":\"packing\",\"shards\":[";
	for (const std::string &domain : layout.domains) {
		std::string wsep;

		out << sep << "{\"id\":\"" << domain << "\",\"domain\":\""
		    << domain << "\",\"workers\":[";
		for (size_t i = 0; i < worker_id.size(); i++) {
			if (worker_domain[i] != domain)
				continue;
			bool big =
			    (i % (size_t)layout.workers_per_domain) % 2 == 0;

			out << wsep << "{\"id\":\"" << worker_id[i]
			    << "\",\"address\":\"" << worker_address[i]
			    << "\",\"rack\":\"r" << i / 2
			    << "\",\"cpu\":" << (big ? 16 : 8)
			    << ",\"memory\":\"" << (big ? 64 : 32)
			    << "GB\",\"accelerators\":" << (big ? 4 : 0) << "}";
			wsep = ",";
		}
		out << "]}";
		sep = ",";
	}
	out << "]}";
	return out.str();
}

std::string
Cluster::services_document() const
{
	std::ostringstream out;

	out << "{\"services\":[{\"name\":\"svc\",\"endpoints\":[";
	for (size_t i = 0; i < endpoint_address.size(); i++)
		out << (i > 0 ? "," : "") << "{\"id\":\"e" << i
		    << "\",\"address\":\"" << endpoint_address[i]
		    << "\",\"domain\":\""
		    << layout.domains[i / (size_t)layout.endpoints_per_domain]
		    << "\",\"slots\":8}";
	out << "]}]}";
	return out.str();
}

Response
Cluster::put_config(const Daemon &d, const std::string &area,
    const std::string &document, int64_t if_revision)
{
	return http("PUT",
	    "http://" + d.operators() + "/v1/config/" + area +
		"?if_revision=" + std::to_string(if_revision),
	    document);
}

void
Cluster::configure()
{
	const Daemon &d = daemons[0];

	EXPECT_EQ(
	    put_config(d, "preset", R"({"preset":"ordinary"})", 0).status, 200);
	EXPECT_EQ(
	    put_config(d, "services", services_document(), 0).status, 200);
	EXPECT_EQ(put_config(d, "shards", shards_document(), 0).status, 200);
}

void
Cluster::start()
{
	for (Daemon &d : daemons)
		start_daemon(d);
	publish_vms();
	await_members_and_configure();
}

void
Cluster::await_members_and_configure()
{
	ASSERT_TRUE(eventually([&] {
		for (const Daemon &d : daemons) {
			Json j = get(d, "/v1/members").json();
			json_t *m = json_object_get(j.get(), "members");
			size_t alive = 0;
			json_t *row;
			size_t i;

			json_array_foreach(m, i, row) {
				alive += std::string(json_string_value(
					     json_object_get(row, "state"))) ==
				    "alive";
			}
			if (alive != daemons.size())
				return false;
		}
		return true;
	})) << "daemons do not see one another";
	configure();
	for (const std::string &shard : layout.domains)
		ASSERT_TRUE(eventually([&] { return owner(shard) != nullptr; }))
		    << shard << " has no owner";
	/* Every daemon has applied the configuration and sees the owners. */
	ASSERT_TRUE(eventually([&] {
		for (const Daemon &d : daemons) {
			Response r = get(d, "/v1/status");

			if (r.body.find("\"owner\":\"none\"") !=
				std::string::npos ||
			    r.body.find("\"service\":\"svc\"") ==
				std::string::npos ||
			    r.body.find("\"shard\"") == std::string::npos)
				return false;
		}
		return true;
	})) << "the configuration was not applied";
}

Daemon &
Cluster::daemon(const std::string &vm)
{
	for (Daemon &d : daemons) {
		if (d.vm == vm)
			return d;
	}
	abort();
}

Response
Cluster::get(const Daemon &d, const std::string &path)
{
	if (!d.process || !d.process->running())
		return {};
	return http("GET", "http://" + d.operators() + path, "", {}, 5000);
}

/* Each daemon is asked for itself; others may have an outdated view. */
Daemon *
Cluster::owner(const std::string &shard)
{
	for (Daemon &d : daemons) {
		Json j = get(d, "/v1/status").json();
		json_t *row;
		size_t i;

		json_array_foreach(json_object_get(j.get(), "shards"), i, row) {
			if (shard ==
				json_string_value(
				    json_object_get(row, "shard")) &&
			    d.vm ==
				json_string_value(
				    json_object_get(row, "owner")))
				return &d;
		}
	}
	return nullptr;
}

Daemon &
Cluster::another_running(const Daemon &than)
{
	for (Daemon &d : daemons) {
		if (d.vm != than.vm && d.process && d.process->running())
			return d;
	}
	abort();
}

int64_t
Cluster::metric(const Daemon &d, const std::string &name)
{
	std::istringstream lines(get(d, "/metrics").body);
	std::string line;

	while (std::getline(lines, line)) {
		if (line.rfind("currant_" + name + " ", 0) == 0)
			return std::stoll(line.substr(line.rfind(' ') + 1));
	}
	return -1;
}

Response
Cluster::submit(
    const Daemon &d, const std::string &key, const std::string &fields)
{
	return http("POST", "http://" + d.callers() + "/v1/jobs",
	    "{\"team\":\"t\",\"name\":\"n\",\"key\":\"" + key + "\"," + fields +
		"}",
	    {"X-Deadline-Ms: 8000"});
}

Response
Cluster::job(const Daemon &d, const std::string &id, int wait_ms)
{
	return http("GET",
	    "http://" + d.callers() + "/v1/jobs/" + id +
		"?wait_ms=" + std::to_string(wait_ms),
	    "", {}, wait_ms + 5000);
}

Response
Cluster::await_job(const std::string &id, int64_t timeout_ms)
{
	Response r;

	eventually(
	    [&] {
		    for (const Daemon &d : daemons) {
			    if (!d.process || !d.process->running())
				    continue;
			    Response got = job(d, id, 500);

			    if (got.status == 200 &&
				got.body.find("\"ended\":true") !=
				    std::string::npos) {
				    r = got;
				    return true;
			    }
		    }
		    return false;
	    },
	    timeout_ms);
	return r;
}

Response
Cluster::request(const Daemon &d, const std::string &body,
    const std::vector<std::string> &headers, long timeout_ms)
{
	return http("POST",
	    "http://" + d.callers() + "/v1/services/svc/requests", body,
	    headers, timeout_ms);
}

void
Cluster::inject_fault(const std::string &spec)
{
	EXPECT_EQ(
	    http("POST", "http://" + store->addresses[0] + "/_fault", spec)
		.status,
	    200);
}

Json
Cluster::worker_report()
{
	return http("GET", "http://" + worker_address[0] + "/_report").json();
}

Json
Cluster::endpoint_report()
{
	return http("GET", "http://" + endpoint_address[0] + "/_report").json();
}

int
Cluster::execution_count(const std::string &key)
{
	return (int)http("GET",
	    "http://" + endpoint_address[0] + "/_count?key=key%20svc/" + key)
	    .number("count");
}

void
Cluster::set_worker_behaviour(size_t i, const std::string &spec)
{
	EXPECT_EQ(
	    http("POST", "http://" + worker_address[i] + "/_behaviour", spec)
		.status,
	    200);
}

void
Cluster::set_endpoint_behaviour(size_t i, const std::string &spec)
{
	EXPECT_EQ(
	    http("POST", "http://" + endpoint_address[i] + "/_behaviour", spec)
		.status,
	    200);
}

void
Cluster::expect_no_violation()
{
	Json w = worker_report();
	Json e = endpoint_report();

	for (const char *field :
	    {"overcommitted", "doubled", "repeated", "completed_twice"})
		EXPECT_EQ(
		    json_integer_value(json_object_get(w.get(), field)), 0)
		    << field;
	EXPECT_EQ(json_integer_value(json_object_get(e.get(), "doubled")), 0);
}
