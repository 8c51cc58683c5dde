"""Patterns that decide how a statement is classified."""

from __future__ import annotations

import re
from typing import Final

_I: Final = re.IGNORECASE | re.ASCII

REFUSED: Final[tuple[tuple[re.Pattern[str], str], ...]] = tuple(
    (re.compile(pattern, _I), reason)
    for pattern, reason in (
        (r"KILL\b", "KILL could terminate statements or connections of other clients"),
        (
            r"SHOW\s+(?:FULL\s+)?PROCESSLIST\b",
            "SHOW PROCESSLIST would show statements of other clients",
        ),
        (r"LOAD\b", "LOAD DATA is not supported through the proxy"),
        (r"XA\b", "XA transactions are not supported"),
        (
            r"(?:UN)?LOCK\s+(?:TABLES?|INSTANCE)\b",
            "table locks would outlive the request on a shared connection",
        ),
        (
            r"CREATE\s+(?:OR\s+REPLACE\s+)?TEMPORARY\b|DROP\s+TEMPORARY\b",
            "temporary tables would outlive the request on a shared connection",
        ),
        (
            r"(?:PREPARE|EXECUTE|DEALLOCATE)\b",
            "prepared statements in SQL text are not supported",
        ),
        (r"HANDLER\b", "HANDLER is not supported"),
        (
            r"(?:COMMIT|ROLLBACK)\b.*\b(?:CHAIN|RELEASE)\b(?<!NO\sCHAIN)(?<!NO\sRELEASE)",
            "AND CHAIN and RELEASE are not supported",
        ),
        (
            r"(?:SHUTDOWN|RESTART|RESET|PURGE|FLUSH|INSTALL|UNINSTALL|CLONE|BINLOG|"
            r"IMPORT|GRANT|REVOKE|CHANGE|CACHE|ALTER\s+INSTANCE|DIAGNOSTICS|GET|"
            r"(?:START|STOP)\s+(?:SLAVE|REPLICA|GROUP_REPLICATION)|"
            r"(?:CREATE|ALTER|DROP|RENAME)\s+(?:USER|ROLE|SERVER|EVENT|TABLESPACE|"
            r"LOGFILE|UNDO|RESOURCE))\b",
            "administrative statements are not accepted through the proxy",
        ),
        (
            r"SHOW\s+(?:MASTER|SLAVE|REPLICA|REPLICAS|BINARY|BINLOG|GRANTS|ENGINE|"
            r"PROFILE|PROFILES|EVENTS|RELAYLOG|PLUGINS|PRIVILEGES|OPEN|AUTHORS)\b",
            "administrative statements are not accepted through the proxy",
        ),
        (
            r"EXPLAIN\s.*\bFOR\s+CONNECTION\b",
            "EXPLAIN FOR CONNECTION would show statements of other clients",
        ),
    )
)

REFUSED_SETTING: Final = re.compile(
    r"SET\s.*(?:\b(?:GLOBAL|PERSIST|PERSIST_ONLY|PASSWORD|ROLE|sql_log_bin|gtid_next|"
    r"pseudo_thread_id|pseudo_slave_mode|server_id)\b)",
    _I | re.DOTALL,
)
SQL_MODE: Final = re.compile(r"\bsql_mode\b", _I)
SAFE_SQL_MODE: Final = re.compile(
    r"SET\s+(?:SESSION\s+|@@(?:SESSION\s*\.\s*)?)?`?sql_mode`?\s*:?=\s*"
    r"""(['"])(?:(?:STRICT_TRANS_TABLES|STRICT_ALL_TABLES|TRADITIONAL|NO_ZERO_DATE|"""
    r"ONLY_FULL_GROUP_BY|NO_ZERO_IN_DATE|ERROR_FOR_DIVISION_BY_ZERO|"
    r"NO_AUTO_VALUE_ON_ZERO|NO_ENGINE_SUBSTITUTION),?)*\1\s*;?\s*",
    _I,
)

SHOW_SESSION: Final = re.compile(r"SHOW\s+RADISHTRACK\s+SESSION", _I)
RESERVED_NAME: Final = re.compile(r"radishtrack", _I)
BEGIN: Final = re.compile(r"BEGIN(?:\s+WORK)?|START\s+TRANSACTION\b[\w\s,]*", _I)
COMMIT: Final = re.compile(r"COMMIT\b[\w\s]*", _I)
ROLLBACK: Final = re.compile(
    r"ROLLBACK(?:\s+WORK)?(?:\s+AND\s+NO\s+CHAIN)?(?:\s+NO\s+RELEASE)?", _I
)
SAVEPOINT: Final = re.compile(
    r"(?:SAVEPOINT|RELEASE\s+SAVEPOINT|ROLLBACK\s+(?:WORK\s+)?TO)\b", _I
)
SET_NAMES: Final = re.compile(
    r"SET\s+(?:NAMES|CHARACTER\s+SET|CHARSET)\s+(?:\w+|'')(?:\s+COLLATE\s+(?:\w+|''))?",
    _I,
)
AUTOCOMMIT: Final = re.compile(
    r"SET\s+(?:(?:SESSION|LOCAL)\s+|@@(?:(?:SESSION|LOCAL)\s*\.\s*)?)?autocommit\s*"
    r""":?=\s*(['"]?)(?P<value>0|1|ON|OFF|TRUE|FALSE)\1""",
    _I,
)
SELECT_VARIABLES: Final = re.compile(
    r"SELECT\s+@@[\w.]+(?:\s+(?:AS\s+)?[\w`]+)?"
    r"(?:\s*,\s*@@[\w.]+(?:\s+(?:AS\s+)?[\w`]+)?)*(?:\s+LIMIT\s+0)?",
    _I,
)
SELECT_LAST_INSERT_ID: Final = re.compile(
    r"SELECT\s+LAST_INSERT_ID\s*\(\s*\)(?:\s+(?:AS\s+)?[\w`]+)?(?:\s+LIMIT\s+0)?", _I
)
SHOW_VARIABLES: Final = re.compile(
    r"SHOW\s+(?:SESSION\s+|GLOBAL\s+|LOCAL\s+)?VARIABLES\b", _I
)
SHOW_WARNINGS: Final = re.compile(
    r"SHOW\s+(?:COUNT\s*\(\s*\*\s*\)\s*)?(?:WARNINGS|ERRORS)\b", _I
)
SHOW_SCHEMA: Final = re.compile(
    r"SHOW\s+(?:(?:FULL|EXTENDED)\s+)*(?:TABLES|COLUMNS|FIELDS|INDEX|INDEXES|KEYS|"
    r"DATABASES|SCHEMAS|TRIGGERS|TABLE\s+STATUS|CREATE\s+(?:TABLE|VIEW|DATABASE)|"
    r"CHARACTER\s+SET|COLLATION|ENGINES)\b",
    _I,
)
USE: Final = re.compile(r"USE\s+(?:[\w$]+|`[^`]+`)", _I)
DDL_STATEMENT: Final = re.compile(
    r"(?:CREATE|ALTER|DROP|TRUNCATE|RENAME|ANALYZE|OPTIMIZE|CHECK|REPAIR|COMMENT)\b",
    _I,
)
DESCRIBE_STATEMENT: Final = re.compile(
    r"(?:DESCRIBE|DESC)\s+[\w$.`]+(?:\s+[\w$`]+)?|"
    r"EXPLAIN\s+(?:FORMAT\s*=\s*\w+\s+)?SELECT\b.*",
    _I | re.DOTALL,
)
QUERY: Final = re.compile(r"[\s(]*(?:SELECT|WITH)\b", _I)

NEEDS_PRIMARY: Final = re.compile(
    r"FOR\s+(?:UPDATE|SHARE)\b|\bLOCK\s+IN\b|INTO\b|(?<!@)@(?!@)|\bPROCEDURE\b|"
    r"\bSET_VAR\b|SQL_CALC_FOUND_ROWS\b|@@|:=",
    _I,
)
"""Constructs that a replica must not run.

Some words have no word boundary before them because MySQL ends a number where a letter
follows, as in ``1.5FOR UPDATE``.
"""
SIDE_EFFECTS: Final = re.compile(
    r"\b(?:GET_LOCK|RELEASE_LOCK|RELEASE_ALL_LOCKS|IS_FREE_LOCK|IS_USED_LOCK|SLEEP|"
    r"BENCHMARK|LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT|CONNECTION_ID|LOAD_FILE|"
    r"MASTER_POS_WAIT|SOURCE_POS_WAIT|WAIT_FOR_EXECUTED_GTID_SET|"
    r"WAIT_UNTIL_SQL_THREAD_AFTER_GTIDS|NEXTVAL|SETVAL|LASTVAL|NEXT\s+VALUE)\b",
    _I,
)
READS_SESSION_STATE: Final = re.compile(
    r"\b(?:LAST_INSERT_ID|FOUND_ROWS|ROW_COUNT)\b|(?<!@)@(?!@)", _I
)
LEAVES_SESSION_STATE: Final = re.compile(
    r"\bGET_LOCK\b|\bRELEASE_(?:ALL_)?LOCKS?\b|(?<!@)@(?!@)|:=|\bSQL_CALC_FOUND_ROWS\b|"
    r"\bLAST_INSERT_ID\s*\(\s*[^\s)]",
    _I,
)
SYSTEM_NAME: Final = re.compile(
    r"(?<![\w$])`?(?:mysql|performance_schema|sys)`?\s*\.|"
    r"USE\s+`?(?:mysql|performance_schema|sys)\b|\bprocesslist\b",
    _I,
)
SYSTEM_SCHEMAS: Final = frozenset({"mysql", "performance_schema", "sys"})
SYSTEM_TABLES: Final = frozenset({"processlist", "innodb_trx", "user_privileges"})

_KNOWN_FUNCTIONS: Final = """
ABS ACOS ADDDATE ADDTIME AES_DECRYPT AES_ENCRYPT ANY_VALUE ASCII ASIN ATAN ATAN2 AVG
BIN BIN_TO_UUID BIT_AND BIT_COUNT BIT_LENGTH BIT_OR BIT_XOR CAST CEIL CEILING CHAR
CHAR_LENGTH CHARACTER_LENGTH CHARSET COALESCE COLLATION COMPRESS CONCAT CONCAT_WS
CONV CONVERT CONVERT_TZ COS COT COUNT CRC32 CUME_DIST CURDATE CURRENT_DATE
CURRENT_TIME CURRENT_TIMESTAMP CURRENT_USER CURTIME DATABASE DATE DATE_ADD
DATE_FORMAT DATE_SUB DATEDIFF DAY DAYNAME DAYOFMONTH DAYOFWEEK DAYOFYEAR DEFAULT
DEGREES DENSE_RANK ELT EXP EXPORT_SET EXTRACT EXTRACTVALUE FIELD FIND_IN_SET
FIRST_VALUE FLOOR FORMAT FORMAT_BYTES FROM_BASE64 FROM_DAYS FROM_UNIXTIME
GET_FORMAT GREATEST GROUP_CONCAT GROUPING HEX HOUR IF IFNULL INET6_ATON INET6_NTOA
INET_ATON INET_NTOA INSERT INSTR INTERVAL IS_IPV4 IS_IPV6 IS_UUID ISNULL JSON_ARRAY
JSON_ARRAY_APPEND JSON_ARRAY_INSERT JSON_ARRAYAGG JSON_CONTAINS JSON_CONTAINS_PATH
JSON_DEPTH JSON_EXTRACT JSON_INSERT JSON_KEYS JSON_LENGTH JSON_MERGE_PATCH
JSON_MERGE_PRESERVE JSON_OBJECT JSON_OBJECTAGG JSON_OVERLAPS JSON_PRETTY JSON_QUOTE
JSON_REMOVE JSON_REPLACE JSON_SEARCH JSON_SET JSON_TABLE JSON_TYPE JSON_UNQUOTE
JSON_VALID JSON_VALUE LAG LAST_DAY LAST_VALUE LCASE LEAD LEAST LEFT LENGTH LN
LOCALTIME LOCALTIMESTAMP LOCATE LOG LOG10 LOG2 LOWER LPAD LTRIM MAKEDATE MAKETIME
MAKE_SET MATCH MAX MD5 MICROSECOND MID MIN MINUTE MOD MONTH MONTHNAME NOW NTH_VALUE
NTILE NULLIF OCT OCTET_LENGTH ORD PERCENT_RANK PERIOD_ADD PERIOD_DIFF PI POSITION
POW POWER QUARTER QUOTE RADIANS RAND RANDOM_BYTES RANK REGEXP_INSTR REGEXP_LIKE
REGEXP_REPLACE REGEXP_SUBSTR REPEAT REPLACE REVERSE RIGHT ROUND ROW ROW_NUMBER RPAD
RTRIM SCHEMA SEC_TO_TIME SECOND SHA SHA1 SHA2 SIGN SIN SOUNDEX SPACE SQRT
ST_CONTAINS ST_DISTANCE ST_DISTANCE_SPHERE ST_GEOMFROMTEXT ST_X ST_Y STD STDDEV
STDDEV_POP STDDEV_SAMP STR_TO_DATE STRCMP SUBDATE SUBSTR SUBSTRING SUBSTRING_INDEX
SUBTIME SUM SYSDATE TAN TIME TIME_FORMAT TIME_TO_SEC TIMEDIFF TIMESTAMP
TIMESTAMPADD TIMESTAMPDIFF TO_BASE64 TO_DAYS TO_SECONDS TRIM TRUNCATE UCASE
UNCOMPRESS UNHEX UNIX_TIMESTAMP UPPER USER UTC_DATE UTC_TIME UTC_TIMESTAMP UUID
UUID_TO_BIN VALUES VAR_POP VAR_SAMP VARIANCE VERSION WEEK WEEKDAY WEEKOFYEAR
WEIGHT_STRING YEAR YEARWEEK
"""
KNOWN_FUNCTIONS: Final = frozenset(_KNOWN_FUNCTIONS.split())
