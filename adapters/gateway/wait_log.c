#include "adapters/gateway/wait_log.h"

#define US_PER_MS 1000.0
#define NUMBER_TEXT_SIZE 24

static const char *number_text(char *text, double number)
{
	g_snprintf(text, NUMBER_TEXT_SIZE, "%.0f", number);
	return text;
}

/* Logs whether a request may wait, with the figures that decided. */
void wait_log_decision(const struct wait_decision *decision, struct log *log)
{
	const struct wait_request *request = decision->request;
	const struct wait_forecast *forecast = &decision->forecast;
	double wait_ms = forecast->wait_us < 0
				 ? -1
				 : (double)forecast->wait_us / US_PER_MS;
	double start_ms = (double)forecast->start_within_us / US_PER_MS;
	char number[NUMBER_TEXT_SIZE], text[8][NUMBER_TEXT_SIZE];

	g_snprintf(number, sizeof(number), "%" G_GUINT64_FORMAT,
		   decision->number);
	log_write(log, LOG_LEVEL_INFO, "wait_decided", "from", decision->from,
		  "number", number, "service", decision->service,
		  "organisation", request->organisation, "result",
		  decision->is_admitted ? "waits" : "refused", "rank",
		  number_text(text[0], request->rank), "tokens",
		  number_text(text[1], (double)request->tokens), "waiting",
		  number_text(text[2], forecast->waiting), "tokens_ahead",
		  number_text(text[3], forecast->tokens_ahead), "freed_per_s",
		  number_text(text[4], forecast->freed_per_s), "forecast_ms",
		  number_text(text[5], wait_ms), "start_within_ms",
		  number_text(text[6], start_ms), "reserved_percent",
		  number_text(text[7], 100 * decision->reserved_share), NULL);
}
