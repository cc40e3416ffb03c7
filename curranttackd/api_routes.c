#include "curranttackd/api.h"

static const struct fr_route api_caller_routes[] = {
    {"POST", "/v1/jobs", api_job_submit},
    {"GET", "/v1/jobs", api_job_list},
    {"GET", "/v1/jobs/", api_job_show},
    {"DELETE", "/v1/jobs/", api_job_cancel},
    {"POST", "/v1/services/", api_service_request},
    {"GET", "/ready", api_ready},
    {NULL, NULL, NULL},
};

static const struct fr_route api_operator_routes[] = {
    {"POST", "/v1/jobs", api_job_submit},
    {"GET", "/v1/jobs", api_job_list},
    {"GET", "/v1/jobs/", api_job_show},
    {"DELETE", "/v1/jobs/", api_job_cancel},
    {"GET", "/v1/why/", api_job_why},
    {"GET", "/v1/status", api_status},
    {"GET", "/v1/members", api_members},
    {"GET", "/v1/workers", api_workers},
    {"GET", "/v1/placements", api_placements},
    {"GET", "/v1/config/", api_config_get},
    {"PUT", "/v1/config/", api_config_put},
    {"GET", "/v1/history/", api_config_history},
    {"GET", "/v1/burn", api_burn},
    {"GET", "/metrics", api_metrics},
    {"GET", "/ready", api_ready},
    {NULL, NULL, NULL},
};

const struct fr_routes api_routes = {
    .callers = api_caller_routes,
    .operators = api_operator_routes,
};
