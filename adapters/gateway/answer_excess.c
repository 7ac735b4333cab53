#include "adapters/gateway/answer_excess.h"

/* Logs and counts an answer that was refused or cut off. */
void answer_excess_report(const struct answer_excess *excess, struct log *log,
			  struct counters *counters)
{
	char bytes[24], limit[24];

	g_snprintf(bytes, sizeof(bytes), "%" G_GINT64_FORMAT, excess->bytes);
	g_snprintf(limit, sizeof(limit), "%" G_GINT64_FORMAT, excess->limit);
	log_write(log, LOG_LEVEL_WARN, "answer_too_large", "request",
		  excess->request, excess->peer_kind, excess->peer, "call",
		  excess->call, "bytes", bytes, "limit", limit, NULL);
	counters_add(counters, COUNTER_GATEWAY_ANSWERS_TOO_LARGE, 1);
}
