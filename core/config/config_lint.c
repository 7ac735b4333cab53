#include "core/config/config_lint.h"

#include <string.h>

#define US_PER_MS 1000

static void finding_destroy(gpointer data)
{
	struct lint_finding *finding = data;

	g_free(finding->text);
	g_free(finding);
}

static void add(GPtrArray *findings, const struct lint_finding *finding,
		const char *format, ...) G_GNUC_PRINTF(3, 4);

static void add(GPtrArray *findings, const struct lint_finding *finding,
		const char *format, ...)
{
	struct lint_finding *added =
		g_memdup2(finding, sizeof(struct lint_finding));
	va_list args;

	va_start(args, format);
	added->text = g_strdup_vprintf(format, args);
	va_end(args);
	g_ptr_array_add(findings, added);
}

/* A finding about a member of a route, whose text is added later. */
static struct lint_finding
of_route(enum lint_kind kind, const struct route *route, const char *member)
{
	return (struct lint_finding){.kind = kind,
				     .list = "routes",
				     .name = route->name,
				     .member = member};
}

static void lint_route_address(const struct route *route, GPtrArray *findings)
{
	const struct lint_finding host =
		of_route(LINT_NO_EFFECT, route, "host");
	const struct lint_finding targets =
		of_route(LINT_NO_EFFECT, route, "targets");

	/* Ports are taken off the Host field before routes are compared. */
	if (strchr(route->host, ':'))
		add(findings, &host,
		    "matches no request: expected a name without a port, "
		    "found %s",
		    route->host);
	for (guint i = 0; i < route->targets->len; i++) {
		const struct route_target *target =
			&g_array_index(route->targets, struct route_target, i);

		if (target->weight == 0)
			add(findings, &targets,
			    "sends nothing to service %s, whose weight is 0",
			    target->service);
	}
}

static void lint_route_times(const struct route *route, GPtrArray *findings)
{
	const struct lint_finding first =
		of_route(LINT_CONTRADICTION, route, "first_answer_ms");
	const struct lint_finding pause =
		of_route(LINT_CONTRADICTION, route, "longest_pause_ms");
	const struct lint_finding unused =
		of_route(LINT_NO_EFFECT, route, "longest_pause_ms");

	if (route->first_answer_us > route->timeout_us)
		add(findings, &first,
		    "%" G_GINT64_FORMAT " is later than timeout_ms, "
		    "%" G_GINT64_FORMAT,
		    route->first_answer_us / US_PER_MS,
		    route->timeout_us / US_PER_MS);
	if (route->longest_pause_us > route->timeout_us)
		add(findings, &pause,
		    "%" G_GINT64_FORMAT " is longer than timeout_ms, "
		    "%" G_GINT64_FORMAT,
		    route->longest_pause_us / US_PER_MS,
		    route->timeout_us / US_PER_MS);
	if (route->longest_pause_us > 0 && route->kind != ROUTE_STREAM)
		add(findings, &unused, "answers of kind %s have no events",
		    route_kind_name(route->kind));
}

static void lint_route_attempts(const struct route *route, GPtrArray *findings)
{
	const struct lint_finding attempts =
		of_route(LINT_CONTRADICTION, route, "max_attempts");
	const struct lint_finding resumable =
		of_route(LINT_CONTRADICTION, route, "resumable");

	if (route->max_attempts > 1 && !route_may_repeat(route))
		add(findings, &attempts,
		    "%d, but requests of kind %s run once at most",
		    route->max_attempts, route_kind_name(route->kind));
	if (route->is_resumable && route->max_attempts == 1)
		add(findings, &resumable,
		    "true, but with max_attempts 1 no other endpoint goes on");
}

static bool has_key(const struct config *config)
{
	return config->organisations->len > 0;
}

static void lint_routes(const struct config *config, GPtrArray *findings)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);
		const struct lint_finding access =
			of_route(LINT_NO_EFFECT, route, "public");

		lint_route_address(route, findings);
		lint_route_times(route, findings);
		lint_route_attempts(route, findings);
		if (!route->is_public && !has_key(config))
			add(findings, &access,
			    "accepts no request: it needs a key, and there is "
			    "no organisation");
	}
}

static int32_t count_serving(const struct config_service *service)
{
	int32_t count = 0;

	for (guint i = 0; i < service->endpoints->len; i++) {
		const struct config_endpoint *endpoint =
			g_ptr_array_index(service->endpoints, i);

		count += !endpoint->leaving;
	}
	return count;
}

static void lint_services(const struct config *config, GPtrArray *findings)
{
	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);
		const struct lint_finding connections = {
			.kind = LINT_CONTRADICTION,
			.list = "services",
			.name = service->name,
			.member = "max_connections"};

		if (service->max_connections > 0 &&
		    service->max_connections < service->engine.slots)
			add(findings, &connections,
			    "%d leaves %d of engine_slots, %d, unused",
			    service->max_connections,
			    service->engine.slots - service->max_connections,
			    service->engine.slots);
	}
}

static int64_t total_capacity(const struct config *config)
{
	int64_t tokens = 0;

	for (guint i = 0; i < config->services->len; i++) {
		const struct config_service *service =
			g_ptr_array_index(config->services, i);

		for (guint j = 0; j < service->endpoints->len; j++) {
			const struct config_endpoint *endpoint =
				g_ptr_array_index(service->endpoints, j);

			tokens += endpoint->capacity_tokens;
		}
	}
	return tokens;
}

static bool has_stream(const struct config *config)
{
	for (guint i = 0; i < config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(config->routes, i);

		if (route->kind == ROUTE_STREAM)
			return true;
	}
	return false;
}

static void lint_organisations(const struct config *config, GPtrArray *findings)
{
	int64_t capacity = total_capacity(config);

	for (guint i = 0; i < config->organisations->len; i++) {
		const struct config_organisation *organisation =
			g_ptr_array_index(config->organisations, i);
		const struct lint_finding tokens = {
			.kind = LINT_NO_EFFECT,
			.list = "organisations",
			.name = organisation->name,
			.member = "concurrent_tokens"};
		const struct lint_finding rank = {.kind = LINT_NO_EFFECT,
						  .list = "organisations",
						  .name = organisation->name,
						  .member = "route_priority"};

		/* Engines that state no capacity report it themselves. */
		if (capacity > 0 && organisation->concurrent_tokens > capacity)
			add(findings, &tokens,
			    "%" G_GINT64_FORMAT " is never reached: all "
			    "endpoints state %" G_GINT64_FORMAT,
			    organisation->concurrent_tokens, capacity);
		if (organisation->route_priority >= 0 && !has_stream(config))
			add(findings, &rank,
			    "ranks nothing: no route is of kind %s",
			    route_kind_name(ROUTE_STREAM));
	}
}

static void lint_rollout(const struct config *config,
			 const struct config_rollout *rollout,
			 GPtrArray *findings)
{
	const struct config_service *service =
		config_find_service(config, rollout->service);
	int32_t count = service ? count_serving(service) : 0;
	int32_t at_a_time = count * (100 - rollout->min_ready_percent) / 100;
	struct lint_finding finding = {.list = "rollouts",
				       .name = rollout->name};

	if (count > 0 && at_a_time == 0) {
		finding.kind = LINT_CONTRADICTION;
		finding.member = "min_ready_percent";
		add(findings, &finding,
		    "%d lets none of the %d endpoints of %s out of use, so it "
		    "never begins",
		    rollout->min_ready_percent, count, rollout->service);
	} else if (count > 0 && rollout->max_parallel > at_a_time) {
		finding.kind = LINT_CONTRADICTION;
		finding.member = "max_parallel";
		add(findings, &finding,
		    "%d, but min_ready_percent %d lets %d of %d endpoints out "
		    "of use",
		    rollout->max_parallel, rollout->min_ready_percent,
		    at_a_time, count);
	}
}

/*
 * Returns what a valid configuration holds in vain, as struct lint_finding. The
 * caller frees the array before the configuration.
 */
GPtrArray *config_lint(const struct config *config)
{
	GPtrArray *findings = g_ptr_array_new_with_free_func(finding_destroy);

	lint_routes(config, findings);
	lint_services(config, findings);
	lint_organisations(config, findings);
	for (guint i = 0; i < config->rollouts->len; i++)
		lint_rollout(config, g_ptr_array_index(config->rollouts, i),
			     findings);
	return findings;
}
