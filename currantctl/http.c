#include <curl/curl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "currantctl/ctl.h"

#define HTTP_TIMEOUT_MS 15000
#define HTTP_URL_BYTES 1024

/** struct http_sink - where the parts of a response go */
struct http_sink {
	struct ctl_response *resp;
	FILE *out;
};

static size_t
http_on_body(char *data, size_t size, size_t n, void *arg)
{
	struct http_sink *sink = arg;

	return fwrite(data, size, n, sink->out);
}

static size_t
http_on_header(char *data, size_t size, size_t n, void *arg)
{
	static const char name[] = "X-Outcome:";
	struct http_sink *sink = arg;
	size_t len = size * n;
	size_t pos = sizeof(name) - 1;

	if (len <= pos || strncasecmp(data, name, pos) != 0)
		return len;
	while (pos < len && data[pos] == ' ')
		pos++;
	snprintf(sink->resp->outcome, sizeof(sink->resp->outcome), "%.*s",
	    (int)(len - pos), data + pos);
	sink->resp->outcome[strcspn(sink->resp->outcome, "\r\n")] = '\0';
	return len;
}

static struct curl_slist *
http_build_headers(const struct ctl *ctl, const struct ctl_request *req)
{
	struct curl_slist *list = curl_slist_append(NULL, "Expect:");
	char line[512];
	size_t i;

	if (ctl->token != NULL) {
		snprintf(
		    line, sizeof(line), "Authorization: Bearer %s", ctl->token);
		list = curl_slist_append(list, line);
	}
	for (i = 0; req->headers != NULL && req->headers[i] != NULL; i++)
		list = curl_slist_append(list, req->headers[i]);
	return list;
}

void
ctl_send(const struct ctl *ctl, const struct ctl_request *req,
    struct ctl_response *resp)
{
	struct http_sink sink = {.resp = resp};
	struct curl_slist *headers;
	char url[HTTP_URL_BYTES];
	CURL *easy;
	CURLcode code;

	if (req->address == NULL) {
		fprintf(stderr,
		    "currantctl: give --server IP:PORT or set "
		    "CURRANT_SERVER\n");
		exit(CTL_USAGE);
	}
	easy = curl_easy_init();
	headers = http_build_headers(ctl, req);
	memset(resp, 0, sizeof(*resp));
	sink.out = open_memstream(&resp->text, &resp->text_bytes);
	snprintf(url, sizeof(url), "http://%s%s", req->address, req->path);
	curl_easy_setopt(easy, CURLOPT_URL, url);
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, req->method);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, http_on_body);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, &sink);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, http_on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, &sink);
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS,
	    req->timeout_ms > 0 ? req->timeout_ms : HTTP_TIMEOUT_MS);
	if (req->body != NULL) {
		curl_easy_setopt(easy, CURLOPT_POSTFIELDS, req->body);
		curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDSIZE, (long)req->body_bytes);
	}
	code = curl_easy_perform(easy);
	if (code == CURLE_OK)
		curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &resp->status);
	else
		fprintf(stderr, "currantctl: %s: %s\n", req->address,
		    curl_easy_strerror(code));
	fclose(sink.out);
	if (resp->status != 0)
		resp->body = json_loadb(
		    resp->text, resp->text_bytes, JSON_DECODE_ANY, NULL);
	curl_slist_free_all(headers);
	curl_easy_cleanup(easy);
}

void
ctl_get(const struct ctl *ctl, const char *path, struct ctl_response *resp)
{
	struct ctl_request req = {
	    .address = ctl->operators_address, .method = "GET", .path = path};

	ctl_send(ctl, &req, resp);
}

int
ctl_fetch(const struct ctl *ctl, const char *path, struct ctl_response *resp)
{
	ctl_get(ctl, path, resp);
	return ctl_check_response(ctl, resp);
}

void
ctl_response_free(struct ctl_response *resp)
{
	json_decref(resp->body);
	free(resp->text);
	memset(resp, 0, sizeof(*resp));
}

int
ctl_check_response(const struct ctl *ctl, const struct ctl_response *resp)
{
	const char *reason;

	(void)ctl;
	if (resp->status == 0)
		return CTL_UNREACHABLE;
	if (resp->status >= 200 && resp->status < 300)
		return CTL_OK;
	reason = json_string_value(json_object_get(resp->body, "reason"));
	fprintf(stderr, "currantctl: %s: %s\n",
	    resp->outcome[0] != '\0' ? resp->outcome : "error",
	    reason != NULL ? reason : "no reason given");
	return strcmp(resp->outcome, "unknown") == 0 ? CTL_UNKNOWN
						     : CTL_NOT_RUN;
}
